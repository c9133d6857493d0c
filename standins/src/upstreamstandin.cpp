#include "server.h"

#include "endivequay/digest.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <map>

namespace endivequay {

namespace standins {

namespace {

// A test run of an hour at full load stays below this; later ids are only counted.
constexpr std::size_t idLimit = 1'000'000;
constexpr std::size_t keyLimit = 1'000;

// Work on an empty cache is taken to cost up to five times that on a full one.
constexpr double coldFactor = 5;

constexpr const char *notRunHeader = "Endivequay-Not-Run";

std::string canonical(std::string_view text)
{
    std::string result(text);
    std::ranges::transform(result, result.begin(),
        [](unsigned char c) { return static_cast<char>(c == '_' ? '-' : std::tolower(c)); });
    return result;
}

/// A fault that affects no, some or all further requests.
class Fault
{
public:
    bool set(const Json &json)
    {
        if (json.is_boolean())
            left_ = json.get<bool>() ? forever : 0;
        else if (json.is_number_unsigned())
            left_ = json.get<std::uint32_t>();
        return json.is_boolean() || json.is_number_unsigned();
    }
    bool active() const { return left_ != 0; }
    /// Whether the present request is affected.
    bool take()
    {
        if (left_ > 0)
            return left_-- > 0;
        return left_ == forever;
    }

private:
    static constexpr std::int64_t forever = -1;
    std::int64_t left_ = 0;
};

/// Runs by id, with a bound on the number of ids.
class RunCounts
{
public:
    void add(const std::string &id)
    {
        if (!id.empty() && (counts_.size() < idLimit || counts_.contains(id)))
            ++counts_[id];
    }
    const std::map<std::string, int> &counts() const { return counts_; }

private:
    std::map<std::string, int> counts_;
};

/// Records whatever in a request looks like a key.
class KeyWatch
{
public:
    void setSecrets(std::vector<std::string> secrets) { secrets_ = std::move(secrets); }

    void inspect(const Exchange &exchange)
    {
        for (const auto &[name, value] : exchange.headers) {
            const std::string line = fmt::format("{}: {}", name, value);
            const std::string spelled = canonical(name);
            if (spelled.find("endivequay-key") != std::string::npos
                || spelled.find("authorization") != std::string::npos
                || canonical(value).find("endivequay-key") != std::string::npos)
                report(line);
            inspectText("header " + name, line);
        }
        if (canonical(exchange.target).find("endivequay-key") != std::string::npos)
            report("target: " + exchange.target);
        inspectText("target", exchange.target);
        inspectText("body", exchange.body);
    }
    const std::vector<std::string> &seen() const { return seen_; }

private:
    void inspectText(const std::string &place, const std::string &text)
    {
        const auto occurs = [&text](const std::string &secret) {
            return !secret.empty() && text.find(secret) != std::string::npos;
        };
        if (std::ranges::any_of(secrets_, occurs))
            report("secret in " + place);
    }
    void report(const std::string &text)
    {
        if (seen_.size() < keyLimit)
            seen_.push_back(text);
    }

    std::vector<std::string> secrets_;
    std::vector<std::string> seen_;
};

enum class LoadLie { Off, Constant, Zero, Frozen };

class UpstreamService : public Service, public std::enable_shared_from_this<UpstreamService>
{
public:
    UpstreamService(Scheduler &scheduler, UpstreamStandinOptions options)
        : scheduler_(scheduler)
        , options_(std::move(options))
        , delay_(std::chrono::milliseconds(options_.delayMs))
    { }

    void handle(const ExchangePointer &exchange) override;

private:
    /// Work of one request; ends once, when done or when its connection closes.
    struct Work
    {
        bool ended = false;
    };

    void control(Exchange &exchange);
    bool apply(const std::string &name, const Json &value);
    bool applyTime(const std::string &name, const Json &value);
    bool applyLoadLie(const Json &value);
    bool applySecrets(const Json &value);
    Json stats() const;
    void reportLoad(Exchange &exchange) const;
    int reportedLoad() const;
    void work(const ExchangePointer &exchange);
    Interval workTime(Instant now) const;
    bool inTime(const Exchange &exchange, Interval time) const;
    void start(const Exchange &exchange);
    void finish(const ExchangePointer &exchange);
    std::string answerText(const Exchange &exchange) const;

    Scheduler &scheduler_;
    const UpstreamStandinOptions options_;

    Interval delay_;
    Instant coldStart_ {};
    Instant coldEnd_ {};
    std::size_t answerBytes_ = 0;
    std::map<std::string, Fault> faults_ { { "shed", {} }, { "never_answer", {} },
        { "close_after_run", {} }, { "partial_answer", {} } };
    bool draining_ = false;
    LoadLie loadLie_ = LoadLie::Off;
    int frozenLoad_ = 0;

    int inFlight_ = 0;
    int maxConcurrency_ = 0;
    std::size_t overSlots_ = 0;
    std::size_t runs_ = 0;
    RunCounts operations_;
    RunCounts requests_;
    KeyWatch keys_;
    std::optional<Instant> lastNewWork_;
    std::vector<ExchangePointer> unanswered_; ///< Keeps never_answer requests open.
};

void UpstreamService::handle(const ExchangePointer &exchange)
{
    const std::string path = exchange->path();
    if (path == "/load" && exchange->method == "GET")
        reportLoad(*exchange);
    else if (path == "/control" && exchange->method == "POST")
        control(*exchange);
    else if (path == "/control/stats" && exchange->method == "GET")
        exchange->answerJson(200, stats());
    else
        work(exchange);
}

void UpstreamService::control(Exchange &exchange)
{
    const Json json = Json::parse(exchange.body, nullptr, false);
    if (!json.is_object()) {
        exchange.answerJson(400, { { "error", "not a JSON object" } });
        return;
    }
    for (const auto &[name, value] : json.items()) {
        if (!apply(name, value)) {
            exchange.answerJson(400, { { "error", "unknown name or wrong type: " + name } });
            return;
        }
    }
    exchange.answerJson(200, Json::object());
}

bool UpstreamService::apply(const std::string &name, const Json &value)
{
    if (faults_.contains(name))
        return faults_[name].set(value);
    if (name == "lie_load")
        return applyLoadLie(value);
    if (name == "secrets")
        return applySecrets(value);
    if (name == "draining" && value.is_boolean()) {
        draining_ = value.get<bool>();
        return true;
    }
    return value.is_number_unsigned() && applyTime(name, value);
}

bool UpstreamService::applyTime(const std::string &name, const Json &value)
{
    const auto number = value.get<std::uint32_t>();
    if (name == "delay_ms") {
        delay_ = std::chrono::milliseconds(number);
    } else if (name == "cold_start") {
        coldStart_ = SteadyClock().now();
        coldEnd_ = coldStart_ + std::chrono::milliseconds(number);
    } else if (name == "answer_bytes") {
        answerBytes_ = number;
    } else {
        return false;
    }
    return true;
}

bool UpstreamService::applyLoadLie(const Json &value)
{
    static const std::map<Json, LoadLie> lies
        = { { "off", LoadLie::Off }, { "constant", LoadLie::Constant }, { "zero", LoadLie::Zero },
              { "frozen", LoadLie::Frozen } };
    const auto found = lies.find(value);
    if (found == lies.end())
        return false;
    loadLie_ = found->second;
    frozenLoad_ = inFlight_;
    return true;
}

bool UpstreamService::applySecrets(const Json &value)
{
    if (!value.is_array()
        || !std::ranges::all_of(value, [](const Json &secret) { return secret.is_string(); }))
        return false;
    keys_.setSecrets(value.get<std::vector<std::string>>());
    return true;
}

Json UpstreamService::stats() const
{
    const auto age = [this] {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            SteadyClock().now() - *lastNewWork_)
            .count();
    };
    return { { "operations", operations_.counts() }, { "requests", requests_.counts() },
        { "runs", runs_ }, { "in_flight", inFlight_ }, { "max_concurrency", maxConcurrency_ },
        { "over_slots", overSlots_ }, { "keys", keys_.seen() },
        { "last_new_work_age_ms", lastNewWork_ ? age() : -1 } };
}

void UpstreamService::reportLoad(Exchange &exchange) const
{
    const int status = faults_.at("shed").active() ? 503 : 200;
    exchange.answerJson(status,
        { { "in_flight", reportedLoad() }, { "slots", options_.slots },
            { "draining", draining_ } });
}

int UpstreamService::reportedLoad() const
{
    switch (loadLie_) {
    case LoadLie::Off:
        return inFlight_;
    case LoadLie::Constant:
        return options_.slots / 2;
    case LoadLie::Zero:
        return 0;
    case LoadLie::Frozen:
        return frozenLoad_;
    }
    return inFlight_;
}

void UpstreamService::work(const ExchangePointer &exchange)
{
    keys_.inspect(*exchange);
    const Interval time = workTime(SteadyClock().now());
    if (faults_["shed"].take()) {
        exchange->answerJson(503, { { "error", "shedding load" } }, { { notRunHeader, "true" } });
        return;
    }
    if (!inTime(*exchange, time)) {
        exchange->answerJson(504, { { "error", "deadline" } }, { { notRunHeader, "true" } });
        return;
    }
    start(*exchange);
    const auto task = std::make_shared<Work>();
    const auto end = [self = shared_from_this(), task] {
        if (!std::exchange(task->ended, true))
            --self->inFlight_;
    };
    if (time == Interval::zero()) {
        end();
        finish(exchange);
        return;
    }
    exchange->whenClosed(end);
    scheduler_.after(time, [self = shared_from_this(), exchange, task, end] {
        if (task->ended)
            return;
        end();
        self->finish(exchange);
    });
}

Interval UpstreamService::workTime(Instant now) const
{
    if (now >= coldEnd_)
        return delay_;
    const double cold = toSeconds(coldEnd_ - now) / toSeconds(coldEnd_ - coldStart_);
    return fromSeconds(toSeconds(delay_) * (1 + (coldFactor - 1) * cold));
}

bool UpstreamService::inTime(const Exchange &exchange, Interval time) const
{
    const std::string text = exchange.header("Endivequay-Deadline-Ms");
    if (text.empty())
        return true;
    std::int64_t left = 0;
    std::from_chars(text.data(), text.data() + text.size(), left);
    return time <= std::chrono::milliseconds(left) && left > 0;
}

void UpstreamService::start(const Exchange &exchange)
{
    ++runs_;
    operations_.add(exchange.header("Endivequay-Operation"));
    requests_.add(exchange.header("Endivequay-Request"));
    lastNewWork_ = SteadyClock().now();
    if (++inFlight_ > options_.slots)
        ++overSlots_;
    maxConcurrency_ = std::max(maxConcurrency_, inFlight_);
}

void UpstreamService::finish(const ExchangePointer &exchange)
{
    if (faults_["never_answer"].take())
        unanswered_.push_back(exchange);
    else if (faults_["close_after_run"].take())
        exchange->closeWithoutAnswer();
    else if (faults_["partial_answer"].take())
        exchange->answerPartly(answerText(*exchange));
    else
        exchange->answer(200, answerText(*exchange));
}

std::string UpstreamService::answerText(const Exchange &exchange) const
{
    Json json = { { "service", options_.service }, { "upstream", options_.name },
        { "method", exchange.method }, { "path", exchange.target },
        { "request", exchange.header("Endivequay-Request") },
        { "operation", exchange.header("Endivequay-Operation") },
        { "body_sha256", sha256Hex(exchange.body) } };
    std::string text = json.dump(-1, ' ', false, Json::error_handler_t::replace);
    // White space after a JSON text is part of the grammar.
    text.resize(std::max(text.size(), answerBytes_), ' ');
    return text;
}

} // namespace

} // namespace standins

Result<Standin> startUpstreamStandin(const UpstreamStandinOptions &options)
{
    if (options.slots < 1 || options.delayMs < 0)
        return Error { "standin.start", options.listen.value(), "slots or delay is out of range" };
    return standins::startServer(options.listen, [&options](standins::Scheduler &scheduler) {
        return std::make_shared<standins::UpstreamService>(scheduler, options);
    });
}

} // namespace endivequay
