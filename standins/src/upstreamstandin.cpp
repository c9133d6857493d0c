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

// A test run of an hour at full load stays below this; runs of further ids count only in the total.
constexpr std::size_t maxTrackedIds = 1'000'000;
constexpr std::size_t maxReportedKeys = 1'000;

// A request on an empty cache takes up to five times as long as on a full one.
constexpr double maxColdFactor = 5;

constexpr const char *notRunHeaderName = "Endivequay-Not-Run";

std::string normalized(std::string_view text)
{
    std::string result(text);
    std::ranges::transform(result, result.begin(),
        [](unsigned char c) { return static_cast<char>(c == '_' ? '-' : std::tolower(c)); });
    return result;
}

/// A fault that affects none, a number or all of the following requests.
class Fault
{
public:
    bool set(const Json &json)
    {
        if (json.is_boolean())
            remaining_ = json.get<bool>() ? unlimited : 0;
        else if (json.is_number_unsigned())
            remaining_ = json.get<std::uint32_t>();
        return json.is_boolean() || json.is_number_unsigned();
    }
    bool active() const { return remaining_ != 0; }
    /// Whether the present request is affected; decrements a limited count.
    bool consume()
    {
        if (remaining_ > 0)
            return remaining_-- > 0;
        return remaining_ == unlimited;
    }

private:
    static constexpr std::int64_t unlimited = -1;
    std::int64_t remaining_ = 0;
};

/// Number of runs by id, for at most maxTrackedIds ids.
class RunCounts
{
public:
    void add(const std::string &id)
    {
        if (!id.empty() && (counts_.size() < maxTrackedIds || counts_.contains(id)))
            ++counts_[id];
    }
    const std::map<std::string, int> &counts() const { return counts_; }

private:
    std::map<std::string, int> counts_;
};

/// Records headers and targets that look like a key, and places where a secret occurs.
class KeyLeakDetector
{
public:
    void setSecrets(std::vector<std::string> secrets) { secrets_ = std::move(secrets); }

    void inspect(const Exchange &exchange)
    {
        for (const auto &[name, value] : exchange.headers) {
            const std::string headerLine = fmt::format("{}: {}", name, value);
            const std::string normalizedName = normalized(name);
            if (normalizedName.find("endivequay-key") != std::string::npos
                || normalizedName.find("authorization") != std::string::npos
                || normalized(value).find("endivequay-key") != std::string::npos)
                report(headerLine);
            inspectText("header " + name, headerLine);
        }
        if (normalized(exchange.target).find("endivequay-key") != std::string::npos)
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
        if (seen_.size() < maxReportedKeys)
            seen_.push_back(text);
    }

    std::vector<std::string> secrets_;
    std::vector<std::string> seen_;
};

enum class LoadReportFault { Off, Constant, Zero, Frozen };

class UpstreamService : public Service, public std::enable_shared_from_this<UpstreamService>
{
public:
    UpstreamService(Scheduler &scheduler, UpstreamStandinOptions options)
        : scheduler_(scheduler)
        , options_(std::move(options))
        , delay_(std::chrono::milliseconds(options_.delayMs))
    { }

    void handle(const ExchangePointer &exchange) override;
    void close() override { heldExchanges_.clear(); }

private:
    /// Execution of one request; ends once, when done or when its connection closes.
    struct Run
    {
        bool ended = false;
    };

    void handleControl(Exchange &exchange);
    bool applySetting(const std::string &name, const Json &value);
    bool applyNumber(const std::string &name, const Json &value);
    bool applyLoadReportFault(const Json &value);
    bool applySecrets(const Json &value);
    Json stats() const;
    void reportLoad(Exchange &exchange) const;
    int reportedLoad() const;
    void handleRequest(const ExchangePointer &exchange);
    Interval runDuration(Instant now) const;
    bool canMeetDeadline(const Exchange &exchange, Interval time) const;
    void startRun(const Exchange &exchange);
    void finishRun(const ExchangePointer &exchange);
    std::string responseBody(const Exchange &exchange) const;

    Scheduler &scheduler_;
    const UpstreamStandinOptions options_;

    Interval delay_;
    Instant coldStart_ {};
    Instant coldEnd_ {};
    std::size_t minResponseBytes_ = 0;
    std::map<std::string, Fault> faults_ { { "shed", {} }, { "never_answer", {} },
        { "close_after_run", {} }, { "partial_answer", {} } };
    bool draining_ = false;
    LoadReportFault loadReportFault_ = LoadReportFault::Off;
    int frozenLoad_ = 0;

    int inFlight_ = 0;
    int maxConcurrency_ = 0;
    std::size_t runsOverSlots_ = 0;
    std::size_t runs_ = 0;
    RunCounts runsByOperation_;
    RunCounts runsByRequest_;
    KeyLeakDetector keyDetector_;
    std::optional<Instant> lastRunStart_;
    std::vector<ExchangePointer> heldExchanges_; ///< Open never_answer requests.
};

void UpstreamService::handle(const ExchangePointer &exchange)
{
    const std::string path = exchange->path();
    if (path == "/load" && exchange->method == "GET")
        reportLoad(*exchange);
    else if (path == "/control" && exchange->method == "POST")
        handleControl(*exchange);
    else if (path == "/control/stats" && exchange->method == "GET")
        exchange->respondJson(200, stats());
    else
        handleRequest(exchange);
}

void UpstreamService::handleControl(Exchange &exchange)
{
    const Json json = Json::parse(exchange.body, nullptr, false);
    if (!json.is_object()) {
        exchange.respondJson(400, { { "error", "not a JSON object" } });
        return;
    }
    for (const auto &[name, value] : json.items()) {
        if (!applySetting(name, value)) {
            exchange.respondJson(400, { { "error", "unknown name or wrong type: " + name } });
            return;
        }
    }
    exchange.respondJson(200, Json::object());
}

bool UpstreamService::applySetting(const std::string &name, const Json &value)
{
    if (faults_.contains(name))
        return faults_[name].set(value);
    if (name == "lie_load")
        return applyLoadReportFault(value);
    if (name == "secrets")
        return applySecrets(value);
    if (name == "draining" && value.is_boolean()) {
        draining_ = value.get<bool>();
        return true;
    }
    return value.is_number_unsigned() && applyNumber(name, value);
}

bool UpstreamService::applyNumber(const std::string &name, const Json &value)
{
    const auto number = value.get<std::uint32_t>();
    if (name == "delay_ms") {
        delay_ = std::chrono::milliseconds(number);
    } else if (name == "cold_start") {
        coldStart_ = SteadyClock().now();
        coldEnd_ = coldStart_ + std::chrono::milliseconds(number);
    } else if (name == "answer_bytes") {
        minResponseBytes_ = number;
    } else {
        return false;
    }
    return true;
}

bool UpstreamService::applyLoadReportFault(const Json &value)
{
    static const std::map<Json, LoadReportFault> modes
        = { { "off", LoadReportFault::Off }, { "constant", LoadReportFault::Constant },
              { "zero", LoadReportFault::Zero }, { "frozen", LoadReportFault::Frozen } };
    const auto found = modes.find(value);
    if (found == modes.end())
        return false;
    loadReportFault_ = found->second;
    frozenLoad_ = inFlight_;
    return true;
}

bool UpstreamService::applySecrets(const Json &value)
{
    if (!value.is_array()
        || !std::ranges::all_of(value, [](const Json &secret) { return secret.is_string(); }))
        return false;
    keyDetector_.setSecrets(value.get<std::vector<std::string>>());
    return true;
}

Json UpstreamService::stats() const
{
    const auto age = [this] {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            SteadyClock().now() - *lastRunStart_)
            .count();
    };
    return { { "operations", runsByOperation_.counts() }, { "requests", runsByRequest_.counts() },
        { "runs", runs_ }, { "in_flight", inFlight_ }, { "max_concurrency", maxConcurrency_ },
        { "over_slots", runsOverSlots_ }, { "keys", keyDetector_.seen() },
        { "last_new_work_age_ms", lastRunStart_ ? age() : -1 } };
}

void UpstreamService::reportLoad(Exchange &exchange) const
{
    const int status = faults_.at("shed").active() ? 503 : 200;
    exchange.respondJson(status,
        { { "in_flight", reportedLoad() }, { "slots", options_.slots },
            { "draining", draining_ } });
}

int UpstreamService::reportedLoad() const
{
    switch (loadReportFault_) {
    case LoadReportFault::Off:
        return inFlight_;
    case LoadReportFault::Constant:
        return options_.slots / 2;
    case LoadReportFault::Zero:
        return 0;
    case LoadReportFault::Frozen:
        return frozenLoad_;
    }
    return inFlight_;
}

void UpstreamService::handleRequest(const ExchangePointer &exchange)
{
    keyDetector_.inspect(*exchange);
    const Interval time = runDuration(SteadyClock().now());
    if (faults_["shed"].consume()) {
        exchange->respondJson(
            503, { { "error", "shedding load" } }, { { notRunHeaderName, "true" } });
        return;
    }
    if (!canMeetDeadline(*exchange, time)) {
        exchange->respondJson(504, { { "error", "deadline" } }, { { notRunHeaderName, "true" } });
        return;
    }
    startRun(*exchange);
    const auto run = std::make_shared<Run>();
    const auto end = [self = shared_from_this(), run] {
        if (!std::exchange(run->ended, true))
            --self->inFlight_;
    };
    if (time == Interval::zero()) {
        end();
        finishRun(exchange);
        return;
    }
    exchange->onClose(end);
    scheduler_.runAfter(time, [self = shared_from_this(), exchange, run, end] {
        if (run->ended)
            return;
        end();
        self->finishRun(exchange);
    });
}

Interval UpstreamService::runDuration(Instant now) const
{
    if (now >= coldEnd_)
        return delay_;
    const double cold = toSeconds(coldEnd_ - now) / toSeconds(coldEnd_ - coldStart_);
    return fromSeconds(toSeconds(delay_) * (1 + (maxColdFactor - 1) * cold));
}

bool UpstreamService::canMeetDeadline(const Exchange &exchange, Interval time) const
{
    const std::string text = exchange.header("Endivequay-Deadline-Ms");
    if (text.empty())
        return true;
    std::int64_t remainingMs = 0;
    std::from_chars(text.data(), text.data() + text.size(), remainingMs);
    return time <= std::chrono::milliseconds(remainingMs) && remainingMs > 0;
}

void UpstreamService::startRun(const Exchange &exchange)
{
    ++runs_;
    runsByOperation_.add(exchange.header("Endivequay-Operation"));
    runsByRequest_.add(exchange.header("Endivequay-Request"));
    lastRunStart_ = SteadyClock().now();
    if (++inFlight_ > options_.slots)
        ++runsOverSlots_;
    maxConcurrency_ = std::max(maxConcurrency_, inFlight_);
}

void UpstreamService::finishRun(const ExchangePointer &exchange)
{
    if (faults_["never_answer"].consume())
        heldExchanges_.push_back(exchange);
    else if (faults_["close_after_run"].consume())
        exchange->closeWithoutResponse();
    else if (faults_["partial_answer"].consume())
        exchange->respondPartially(responseBody(*exchange));
    else
        exchange->respond(200, responseBody(*exchange));
}

std::string UpstreamService::responseBody(const Exchange &exchange) const
{
    Json json = { { "service", options_.service }, { "upstream", options_.name },
        { "method", exchange.method }, { "path", exchange.target },
        { "request", exchange.header("Endivequay-Request") },
        { "operation", exchange.header("Endivequay-Operation") },
        { "body_sha256", sha256Hex(exchange.body) } };
    std::string text = json.dump(-1, ' ', false, Json::error_handler_t::replace);
    // JSON allows trailing white space, so padding keeps the text valid.
    text.resize(std::max(text.size(), minResponseBytes_), ' ');
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
