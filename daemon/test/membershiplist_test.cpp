#include "membershiplist.h"

#include <CppUTest/TestHarness.h>

using namespace endivequay;

namespace {

const std::string valid = R"({"address":"10.0.0.1:8080","failure_domain":"gulf-a"})";

std::string nestedArrays(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

TEST_GROUP(MembershipList) {};

// Guards against one odd entry that ends the process or hides all other instances.
TEST(MembershipList, InvalidEntriesAreRejectedOneByOne)
{
    const std::string invalid[] = { "null", "7", "[]", "{}", nestedArrays(5),
        R"({"address":"10.0.0.2:8080"})", R"({"address":7,"failure_domain":"gulf-a"})",
        R"({"address":"10.0.0.2:70000","failure_domain":"gulf-a"})",
        R"({"address":"10.0.0.2:0","failure_domain":"gulf-a"})",
        R"({"address":"10.0.0.2","failure_domain":"gulf-a"})",
        R"({"address":"10.0.0.2:8080","failure_domain":"gulf-a","state":1e300})",
        R"({"address":"10.0.0.2:8080","failure_domain":"gulf-a","state":null})" };
    for (const std::string &entry : invalid) {
        const auto list = parseMembershipList('[' + entry + ',' + valid + ']');
        CHECK_TEXT(list.hasValue(), entry.c_str());
        LONGS_EQUAL_TEXT(1, list->instances.size(), entry.c_str());
        LONGS_EQUAL_TEXT(1, list->rejected.size(), entry.c_str());
    }
    const auto leaving = parseMembershipList(
        R"([{"address":"10.0.0.2:8080","failure_domain":"gulf-a","state":"leaving"}])");
    CHECK(leaving->instances.front().leaving);
}

// Guards against a response that exhausts memory, and against taking a part of one for the list.
TEST(MembershipList, BodiesThatAreNoListAreRejected)
{
    for (const std::string &body :
        { std::string(), std::string("{}"), '[' + valid, '[' + valid + "]x", std::string("[1e400]"),
            std::string("\xff"), nestedArrays(100'000), std::string(100'000, '[') })
        CHECK_FALSE(parseMembershipList(body).hasValue());
}
