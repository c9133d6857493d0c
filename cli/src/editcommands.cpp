#include "edits.h"
#include "session.h"

#include "endivequay/digest.h"

#include <fmt/format.h>

namespace endivequay::cli {

namespace {

using namespace std::chrono_literals;

constexpr Interval drainPollInterval = 250ms;

// 256 bits: too many to guess, so the digest needs no salt.
constexpr std::size_t keyBytes = 32;

Error missingOption(const std::string &option)
{
    return { "usage", option, "is required" };
}

std::string newKey(const Session &session)
{
    std::string key = "ek_";
    for (unsigned char byte : session.backend.randomBytes(keyBytes))
        key += fmt::format("{:02x}", byte);
    return key;
}

void printKey(const Session &session, const std::string &key, const TeamKey &stored)
{
    session.printResult({ { "key", key }, { "id", stored.id }, { "sha256", stored.sha256 } },
        fmt::format("key     {}\nid      {}\nsha256  {}\n", key, stored.id, stored.sha256));
}

/// Submits an edit and waits until the reachable instances apply it.
ExitCode submitAndWait(const Session &session, const Edit &edit)
{
    const Submitted submitted = submitEdit(session, edit);
    if (submitted.code != ExitCode::Success)
        return submitted.code;
    return waitForRollout(
        session, submitted.revision, session.backend.now() + session.settings.wait);
}

/// Requests in flight from all reachable instances to an upstream.
int totalInFlight(const Session &session, const std::string &upstream)
{
    int sum = 0;
    for (const auto &[address, status] : fetchFleet(session.backend, session.settings.instances)) {
        if (!status)
            continue;
        for (const UpstreamStatus &entry : status.value()->upstreams)
            sum += entry.id == upstream ? entry.inFlight : 0;
    }
    return sum;
}

ExitCode awaitDrained(const Session &session, Instant deadline)
{
    const std::string &upstream = session.settings.argument;
    int reportedCount = -1;
    for (;;) {
        const int count = totalInFlight(session, upstream);
        if (count != reportedCount)
            session.logLine(fmt::format(
                "{}: {} in flight", upstream, countOf(static_cast<std::size_t>(count), "request")));
        reportedCount = count;
        if (count == 0)
            return ExitCode::Success;
        if (session.backend.now() >= deadline)
            return session.fail(ExitCode::Unfinished,
                { "upstream.drain", upstream, "still runs requests; no new ones start" });
        session.backend.sleep(drainPollInterval);
    }
}

ExitCode drainInstance(const Session &session)
{
    const Address &address = *session.settings.instance;
    if (session.settings.secret.empty())
        return session.fail(
            ExitCode::Usage, missingOption("the environment variable ENDIVEQUAY_SECRET"));
    const std::string proof = hmacSha256Hex(session.settings.secret, "drain " + address.value());
    const auto response
        = session.backend.post(address, "/v1/drain", { { "Endivequay-Operator", proof } });
    if (!response)
        return session.fail(ExitCode::Unreachable, response.lastReason());
    session.printResult({ { "instance", address.value() }, { "state", "leaving" } },
        address.value() + " is leaving\n");
    return ExitCode::Success;
}

/// Finds a service in the stored configuration.
Result<Service> readService(const Documents &documents, const ServiceId &id)
{
    const auto configuration = Configuration::fromDocuments(documents);
    if (!configuration)
        return configuration.lastReason();
    const Service *service = configuration.value()->service(id);
    if (service == nullptr)
        return Error { "config.shift", id.value(), "the service does not exist" };
    return *service;
}

/// Fails if \a service has a shift in force between other regions than \a requested.
Status checkNoOtherShift(const Service &service, const PlannedShift &requested)
{
    const auto &current = service.plannedShift;
    if (!current || current->fraction == 0
        || (current->from == requested.from && current->to == requested.to))
        return Done {};
    return Error { "config.shift", service.id.value(),
        fmt::format("a shift from {} to {} is in force; take it back to 0 first",
            current->from.value(), current->to.value()) };
}

/// Edit that makes the next step towards \a target. Sets \a stepFraction to the fraction after it.
Edit shiftStep(const ServiceId &id, const PlannedShift &target, double &stepFraction)
{
    return [&](const Documents &documents) -> Result<DocumentChange> {
        const auto service = readService(documents, id);
        if (!service)
            return service.lastReason();
        if (const Status allowed = checkNoOtherShift(*service, target); !allowed)
            return allowed.lastReason();
        const auto plan = planShift(*service, target.fraction);
        if (!plan)
            return plan.lastReason();
        stepFraction = target.fraction;
        if (plan.value()->fractions.empty())
            return DocumentChange {};
        stepFraction = plan.value()->fractions.front();
        return setPlannedShift(documents, id, { target.from, target.to, stepFraction });
    };
}

ExitCode shiftInSteps(const Session &session, const ServiceId &id, const PlannedShift &target,
    Interval stepInterval, bool pauseFirst)
{
    for (bool wait = pauseFirst;; wait = true) {
        if (wait)
            session.backend.sleep(stepInterval);
        double stepFraction = 0;
        const Submitted submitted = submitEdit(session, shiftStep(id, target, stepFraction));
        if (submitted.code != ExitCode::Success)
            return submitted.code;
        session.logLine(
            fmt::format("fraction {:.4g}, revision {}", stepFraction, submitted.revision.value()));
        if (stepFraction == target.fraction) {
            session.printResult(
                { { "fraction", stepFraction }, { "revision", submitted.revision.value() } }, "");
            return ExitCode::Success;
        }
    }
}

} // namespace

ExitCode runKeyNew(const Session &session)
{
    const std::string key = newKey(session);
    TeamKey stored { session.settings.keyId, sha256Hex(key) };
    if (stored.id.empty())
        stored.id = "k-" + stored.sha256.substr(0, 8);
    if (session.settings.team.empty()) {
        printKey(session, key, stored);
        return ExitCode::Success;
    }
    const TeamId team(session.settings.team);
    const Submitted submitted = submitEdit(
        session, [&](const Documents &documents) { return addKey(documents, team, stored); });
    // If the outcome is unknown the key may have been stored, so it is printed too.
    if (submitted.code == ExitCode::Success || submitted.code == ExitCode::Unknown)
        printKey(session, key, stored);
    if (submitted.code != ExitCode::Success)
        return submitted.code;
    return waitForRollout(
        session, submitted.revision, session.backend.now() + session.settings.wait);
}

ExitCode runKeyWithdraw(const Session &session)
{
    if (session.settings.team.empty())
        return session.fail(ExitCode::Usage, missingOption("--team"));
    if (session.settings.keyId.empty())
        return session.fail(ExitCode::Usage, missingOption("--id"));
    const TeamId team(session.settings.team);
    const ExitCode code = submitAndWait(session, [&](const Documents &documents) {
        return withdrawKey(documents, team, session.settings.keyId);
    });
    if (code == ExitCode::Success)
        session.printResult({ { "team", team.value() }, { "withdrawn", session.settings.keyId } },
            "withdrawn " + session.settings.keyId + "\n");
    return code;
}

ExitCode runDrain(const Session &session)
{
    const Settings &settings = session.settings;
    if (settings.instance && (settings.undo || !settings.argument.empty()))
        return session.fail(ExitCode::Usage,
            { "usage", "--instance", "cannot be combined with an upstream or --undo" });
    if (settings.instance)
        return drainInstance(session);
    if (settings.argument.empty())
        return session.fail(ExitCode::Usage, missingOption("the id of an upstream"));
    const Instant deadline = session.backend.now() + settings.wait;
    const UpstreamState state = settings.undo ? UpstreamState::Active : UpstreamState::Draining;
    ExitCode code = submitAndWait(session, [&](const Documents &documents) {
        return setUpstreamState(documents, UpstreamId(settings.argument), state);
    });
    if (code == ExitCode::Success && !settings.undo && !settings.instances.empty())
        code = awaitDrained(session, deadline);
    const std::string outcome = settings.undo ? "active"
        : settings.instances.empty()          ? "draining"
                                              : "drained";
    if (code == ExitCode::Success)
        session.printResult({ { "upstream", settings.argument }, { "state", outcome } },
            settings.argument + " is " + outcome + "\n");
    return code;
}

ExitCode runShift(const Session &session)
{
    const Settings &settings = session.settings;
    for (const auto &[option, value] : { std::pair("--service", settings.service),
             std::pair("--from", settings.from), std::pair("--to", settings.to) }) {
        if (value.empty())
            return session.fail(ExitCode::Usage, missingOption(option));
    }
    if (!settings.fraction)
        return session.fail(ExitCode::Usage, missingOption("--fraction"));
    const ServiceId id(settings.service);
    const PlannedShift target { RegionId(settings.from), RegionId(settings.to),
        *settings.fraction };
    ConfigSnapshot snapshot;
    if (const ExitCode code = readStore(session, snapshot); code != ExitCode::Success)
        return code;
    const auto service = readService(snapshot.documents, id);
    if (!service)
        return session.fail(ExitCode::Refused, service.lastReason());
    if (const Status allowed = checkNoOtherShift(*service, target); !allowed)
        return session.fail(ExitCode::Refused, allowed.lastReason());
    const auto plan = planShift(*service, target.fraction);
    if (!plan)
        return session.fail(ExitCode::Refused, plan.lastReason());
    session.logLine(fmt::format("{}, one every {:.1f} s",
        countOf(plan.value()->fractions.size(), "step"), toSeconds(plan.value()->stepInterval)));
    // The time of the last step is not stored, so a service with an earlier shift waits a full
    // pause.
    const bool pauseFirst
        = service.value()->plannedShift.has_value() && !plan.value()->fractions.empty();
    return shiftInSteps(session, id, target, plan.value()->stepInterval, pauseFirst);
}

} // namespace endivequay::cli
