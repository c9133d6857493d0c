#include "edits.h"
#include "session.h"

#include "endivequay/digest.h"

#include <fmt/format.h>

namespace endivequay::cli {

namespace {

using namespace std::chrono_literals;

constexpr Interval drainPoll = 250ms;

// 256 bits: a key cannot be guessed, and its digest needs no salt.
constexpr std::size_t keyBytes = 32;

Error missing(const std::string &option)
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

void showKey(const Session &session, const std::string &key, const TeamKey &stored)
{
    session.result({ { "key", key }, { "id", stored.id }, { "sha256", stored.sha256 } },
        fmt::format("key     {}\nid      {}\nsha256  {}\n", key, stored.id, stored.sha256));
}

/// Submits an edit and waits until it is in force.
ExitCode submitAndWait(const Session &session, const Edit &edit)
{
    const Submitted submitted = submitEdit(session, edit);
    if (submitted.code != ExitCode::Success)
        return submitted.code;
    return awaitInForce(session, submitted.revision, session.backend.now() + session.settings.wait);
}

/// Requests that the reachable instances run at an upstream.
int inFlightAt(const Session &session, const std::string &upstream)
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
    int shown = -1;
    for (;;) {
        const int count = inFlightAt(session, upstream);
        if (count != shown)
            session.note(fmt::format(
                "{}: {} in flight", upstream, countOf(static_cast<std::size_t>(count), "request")));
        shown = count;
        if (count == 0)
            return ExitCode::Success;
        if (session.backend.now() >= deadline)
            return session.fail(ExitCode::Unfinished,
                { "upstream.drain", upstream, "still runs requests; no new ones start" });
        session.backend.sleep(drainPoll);
    }
}

ExitCode drainInstance(const Session &session)
{
    const Address &address = *session.settings.instance;
    if (session.settings.secret.empty())
        return session.fail(ExitCode::Usage, missing("the environment variable ENDIVEQUAY_SECRET"));
    const std::string proof = hmacSha256Hex(session.settings.secret, "drain " + address.value());
    const auto answer
        = session.backend.post(address, "/v1/drain", { { "Endivequay-Operator", proof } });
    if (!answer)
        return session.fail(ExitCode::Unreachable, answer.lastReason());
    session.result({ { "instance", address.value() }, { "state", "leaving" } },
        address.value() + " is leaving\n");
    return ExitCode::Success;
}

/// The service of the stored configuration, or why there is none.
Result<Service> readService(const Documents &documents, const ServiceId &id)
{
    const auto configuration = Configuration::fromDocuments(documents);
    if (!configuration)
        return configuration.lastReason();
    const Service *service = configuration.value()->service(id);
    if (service == nullptr)
        return Error { "config.shift", id.value(), "there is no such service" };
    return *service;
}

/// Fails if \a service has another shift in force than \a wanted continues.
Status checkContinues(const Service &service, const PlannedShift &wanted)
{
    const auto &present = service.plannedShift;
    if (!present || present->fraction == 0
        || (present->from == wanted.from && present->to == wanted.to))
        return Done {};
    return Error { "config.shift", service.id.value(),
        fmt::format("a shift from {} to {} is in force; take it back to 0 first",
            present->from.value(), present->to.value()) };
}

/// One step of a shift from the documents in force.
Edit shiftStep(const ServiceId &id, const PlannedShift &target, double &reached)
{
    return [&](const Documents &documents) -> Result<DocumentChange> {
        const auto service = readService(documents, id);
        if (!service)
            return service.lastReason();
        if (const Status continues = checkContinues(*service, target); !continues)
            return continues.lastReason();
        const auto plan = planShift(*service, target.fraction);
        if (!plan)
            return plan.lastReason();
        reached = target.fraction;
        if (plan.value()->fractions.empty())
            return DocumentChange {};
        reached = plan.value()->fractions.front();
        return setPlannedShift(documents, id, { target.from, target.to, reached });
    };
}

ExitCode shiftInSteps(const Session &session, const ServiceId &id, const PlannedShift &target,
    Interval stepInterval, bool pauseFirst)
{
    for (bool wait = pauseFirst;; wait = true) {
        if (wait)
            session.backend.sleep(stepInterval);
        double reached = 0;
        const Submitted submitted = submitEdit(session, shiftStep(id, target, reached));
        if (submitted.code != ExitCode::Success)
            return submitted.code;
        session.note(
            fmt::format("fraction {:.4g}, revision {}", reached, submitted.revision.value()));
        if (reached == target.fraction) {
            session.result(
                { { "fraction", reached }, { "revision", submitted.revision.value() } }, "");
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
        showKey(session, key, stored);
        return ExitCode::Success;
    }
    const TeamId team(session.settings.team);
    const Submitted submitted = submitEdit(
        session, [&](const Documents &documents) { return addKey(documents, team, stored); });
    // With an unknown outcome the key may work, so it must not be lost.
    if (submitted.code == ExitCode::Success || submitted.code == ExitCode::Unknown)
        showKey(session, key, stored);
    if (submitted.code != ExitCode::Success)
        return submitted.code;
    return awaitInForce(session, submitted.revision, session.backend.now() + session.settings.wait);
}

ExitCode runKeyWithdraw(const Session &session)
{
    if (session.settings.team.empty())
        return session.fail(ExitCode::Usage, missing("--team"));
    if (session.settings.keyId.empty())
        return session.fail(ExitCode::Usage, missing("--id"));
    const TeamId team(session.settings.team);
    const ExitCode code = submitAndWait(session, [&](const Documents &documents) {
        return withdrawKey(documents, team, session.settings.keyId);
    });
    if (code == ExitCode::Success)
        session.result({ { "team", team.value() }, { "withdrawn", session.settings.keyId } },
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
        return session.fail(ExitCode::Usage, missing("the id of an upstream"));
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
        session.result({ { "upstream", settings.argument }, { "state", outcome } },
            settings.argument + " is " + outcome + "\n");
    return code;
}

ExitCode runShift(const Session &session)
{
    const Settings &settings = session.settings;
    for (const auto &[option, value] : { std::pair("--service", settings.service),
             std::pair("--from", settings.from), std::pair("--to", settings.to) }) {
        if (value.empty())
            return session.fail(ExitCode::Usage, missing(option));
    }
    if (!settings.fraction)
        return session.fail(ExitCode::Usage, missing("--fraction"));
    const ServiceId id(settings.service);
    const PlannedShift target { RegionId(settings.from), RegionId(settings.to),
        *settings.fraction };
    ConfigSnapshot snapshot;
    if (const ExitCode code = readStore(session, snapshot); code != ExitCode::Success)
        return code;
    const auto service = readService(snapshot.documents, id);
    if (!service)
        return session.fail(ExitCode::Refused, service.lastReason());
    if (const Status continues = checkContinues(*service, target); !continues)
        return session.fail(ExitCode::Refused, continues.lastReason());
    const auto plan = planShift(*service, target.fraction);
    if (!plan)
        return session.fail(ExitCode::Refused, plan.lastReason());
    session.note(fmt::format("{}, one every {:.1f} s",
        countOf(plan.value()->fractions.size(), "step"), toSeconds(plan.value()->stepInterval)));
    // The time of the last step is not stored, so that a service that has shifted before waits.
    const bool pauseFirst
        = service.value()->plannedShift.has_value() && !plan.value()->fractions.empty();
    return shiftInSteps(session, id, target, plan.value()->stepInterval, pauseFirst);
}

} // namespace endivequay::cli
