#ifndef ENDIVEQUAY_TEST_HISTORY_H
#define ENDIVEQUAY_TEST_HISTORY_H

#include "endivequay/operations.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace endivequay::test {

/// Records executions and responses of concurrent requests and checks them in any order and
/// overlap.
class History
{
public:
    void issued(const std::string &id) { issued_.insert(id); }
    /// The upstream executed \a request under \a id and produced \a body.
    void ran(const std::string &id, const std::string &request, const std::string &body)
    {
        runs_[id].push_back({ request, body });
    }
    /// A caller received \a outcome; \a body is null if it came without a response.
    void answered(
        const std::string &id, const std::string &request, Outcome outcome, const std::string *body)
    {
        answers_.push_back({ id, request, outcome, body != nullptr, body ? *body : "" });
    }

    /// Ids that ran more than once, or ran without having been issued.
    int doubleRuns() const
    {
        int count = 0;
        for (const auto &[id, runs] : runs_)
            count += runs.size() > 1 || !issued_.contains(id) ? 1 : 0;
        return count;
    }
    /// "not-run" outcomes of requests that ran, before or after the outcome was reported.
    int falseNotRun() const
    {
        return count([this](const Answer &a) { return a.outcome == Outcome::NotRun && run(a); });
    }
    /// "done" outcomes of requests that did not run, or with the response of another request.
    int wrongAnswers() const
    {
        return count([this](const Answer &a) {
            if (a.outcome != Outcome::Done)
                return false;
            const Run *found = run(a);
            return found == nullptr || (a.hasBody && a.body != found->body);
        });
    }
    int answers(Outcome outcome) const
    {
        return count([outcome](const Answer &a) { return a.outcome == outcome; });
    }
    std::size_t runs() const { return runs_.size(); }

private:
    struct Run
    {
        std::string request;
        std::string body;
    };
    struct Answer
    {
        std::string id;
        std::string request;
        Outcome outcome;
        bool hasBody;
        std::string body;
    };

    const Run *run(const Answer &answer) const
    {
        const auto found = runs_.find(answer.id);
        if (found == runs_.end())
            return nullptr;
        for (const auto &run : found->second) {
            if (run.request == answer.request)
                return &run;
        }
        return nullptr;
    }
    template <class Predicate>
    int count(Predicate predicate) const
    {
        int sum = 0;
        for (const auto &answer : answers_)
            sum += predicate(answer) ? 1 : 0;
        return sum;
    }

    std::set<std::string> issued_;
    std::map<std::string, std::vector<Run>> runs_;
    std::vector<Answer> answers_;
};

} // namespace endivequay::test

#endif
