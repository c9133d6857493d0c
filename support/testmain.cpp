#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>

#include <cstdlib>

int main(int argc, char **argv)
{
    // CppUTest checks allocations per test and would report libraries that cache memory as leaks.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    // A fixed seed makes runs reproducible; RC_PARAMS in the environment overrides it.
    setenv("RC_PARAMS", "seed=20261204", 0);
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
