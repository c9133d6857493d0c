# GCC 12 reports -Wrestrict for inlined std::string code at -O3 (GCC bug 105651).
set(ENDIVEQUAY_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Werror -Wno-restrict)

function(endivequay_target_defaults target)
  target_compile_options(${target} PRIVATE ${ENDIVEQUAY_WARNINGS})
  if(ENDIVEQUAY_SANITIZE)
    target_compile_options(${target} PRIVATE -fsanitize=${ENDIVEQUAY_SANITIZE} -fno-omit-frame-pointer)
    if(ENDIVEQUAY_SANITIZE STREQUAL "thread")
      # Asio uses fences, which GCC's thread sanitizer does not model and warns about.
      target_compile_options(${target} PRIVATE -Wno-tsan)
    endif()
    target_link_options(${target} PUBLIC -fsanitize=${ENDIVEQUAY_SANITIZE})
  endif()
endfunction()

# endivequay_library(NAME SOURCES... ) defines endivequay_NAME with include/ public and installs it.
function(endivequay_library name)
  set(target endivequay_${name})
  add_library(${target} STATIC ${ARGN})
  add_library(endivequay::${name} ALIAS ${target})
  set_target_properties(${target} PROPERTIES EXPORT_NAME ${name})
  target_include_directories(${target}
    PUBLIC $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
           $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>
    PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
  endivequay_target_defaults(${target})
  install(TARGETS ${target} EXPORT endivequay-targets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
  install(DIRECTORY include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
endfunction()

# endivequay_test(NAME LIBRARIES... ) builds every test/*.cpp of the package into one CppUTest runner.
function(endivequay_test name)
  if(NOT ENDIVEQUAY_TESTS)
    return()
  endif()
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/test/*_test.cpp)
  add_executable(${name}_test ${sources} ${PROJECT_SOURCE_DIR}/support/testmain.cpp)
  target_include_directories(${name}_test PRIVATE ${PROJECT_SOURCE_DIR}/support)
  target_link_libraries(${name}_test PRIVATE ${ARGN} PkgConfig::CPPUTEST rapidcheck)
  endivequay_target_defaults(${name}_test)
  add_test(NAME ${name} COMMAND ${name}_test -v)
endfunction()
