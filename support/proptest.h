#ifndef ENDIVEQUAY_SUPPORT_PROPTEST_H
#define ENDIVEQUAY_SUPPORT_PROPTEST_H

// CppUTest's memory macros clash with the standard headers that rapidcheck includes,
// so rapidcheck goes first.
#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

/// Runs a rapidcheck property inside a CppUTest test and fails the test if it is falsified.
///
/// The seed and the shrunk counterexample are printed by rapidcheck; RC_PARAMS=seed=N replays it.
#define CHECK_PROPERTY(description, property) CHECK(::rc::check(description, property))

#endif
