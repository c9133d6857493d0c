#ifndef ENDIVEQUAY_TEST_SCHEDULE_H
#define ENDIVEQUAY_TEST_SCHEDULE_H

#include "endivequay/clock.h"

#include <algorithm>
#include <functional>
#include <map>

namespace endivequay::test {

/// Event queue in virtual time. Events at the same instant run in the order of scheduling.
class Schedule
{
public:
    void at(Instant when, std::function<void()> action)
    {
        events_.emplace(std::max(when, now_), std::move(action));
    }
    void after(Interval delay, std::function<void()> action)
    {
        at(now_ + delay, std::move(action));
    }
    void runUntil(Instant end)
    {
        while (!events_.empty() && events_.begin()->first <= end) {
            auto event = events_.extract(events_.begin());
            now_ = event.key();
            event.mapped()();
        }
        now_ = std::max(now_, end);
    }
    Instant now() const { return now_; }

private:
    Instant now_ { std::chrono::hours(1) };
    std::multimap<Instant, std::function<void()>> events_;
};

} // namespace endivequay::test

#endif
