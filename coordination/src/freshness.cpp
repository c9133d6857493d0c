#include "endivequay/freshness.h"

#include <algorithm>

namespace endivequay {

namespace {

// Confirmed revisions that are not applied yet. Exceeded only while a snapshot takes very long.
constexpr std::size_t maxPending = 64;

} // namespace

Freshness::Freshness(FreshnessSettings settings)
    : settings_(settings)
{ }

void Freshness::applied(Revision revision)
{
    applied_ = std::max(applied_, revision);
    const auto end = pending_.upper_bound(applied_);
    for (auto next = pending_.begin(); next != end; next = pending_.erase(next))
        confirm(next->first, next->second);
}

void Freshness::confirm(Revision revision, Confirmation confirmation)
{
    if (revision <= applied_) {
        if (!confirmed_ || confirmed_->asOf < confirmation.asOf)
            confirmed_ = confirmation;
        return;
    }
    const auto [known, added] = pending_.try_emplace(revision, confirmation);
    if (!added && known->second.asOf < confirmation.asOf)
        known->second = confirmation;
    if (pending_.size() > maxPending)
        pending_.erase(pending_.begin());
}

void Freshness::storeAnswered(Instant readStarted, Revision revision)
{
    confirm(revision, { readStarted, false });
    lastAnsweredRead_ = std::max(lastAnsweredRead_.value_or(readStarted), readStarted);
    if (ownIncarnation_)
        silences_.erase(*ownIncarnation_);
}

void Freshness::storeUnanswered(const Incarnation &reader, Instant readStarted, Instant now)
{
    ownIncarnation_ = reader;
    if (now - readStarted >= settings_.readTimeout)
        storeFailed(reader, readStarted);
}

void Freshness::storeFailed(const Incarnation &reader, Instant readStarted)
{
    ownIncarnation_ = reader;
    if (lastAnsweredRead_ && readStarted <= *lastAnsweredRead_)
        return;
    auto &silence = silences_.try_emplace(reader, Silence { applied_, readStarted, readStarted })
                        .first->second;
    silence.asOf = std::max(silence.asOf, readStarted);
    silence.revision = applied_;
}

void Freshness::peerAnswered(Instant sent, Interval age, Revision revision)
{
    confirm(revision, { sent - age - age / settings_.driftDivisor, false });
}

void Freshness::silenceReported(const SilenceReport &report, Instant sent, Instant now)
{
    if (report.reader == ownIncarnation_)
        return;
    const Silence silence { report.revision,
        now - report.sinceAge + report.sinceAge / settings_.driftDivisor,
        sent - report.asOfAge - report.asOfAge / settings_.driftDivisor };
    const auto [known, added] = silences_.try_emplace(report.reader, silence);
    if (!added && known->second.asOf < silence.asOf)
        known->second = silence;
}

void Freshness::confirmByStoreSilence(const std::set<Incarnation> &readers, Instant now)
{
    std::erase_if(silences_,
        [&](const auto &entry) { return now - entry.second.asOf > settings_.maxSilenceReportAge; });
    if (readers.empty())
        return;
    std::optional<Silence> common;
    for (const auto &reader : readers) {
        const auto found = silences_.find(reader);
        if (found == silences_.end())
            return;
        const Silence &silence = found->second;
        if (!common)
            common = silence;
        common->since = std::max(common->since, silence.since);
        common->asOf = std::min(common->asOf, silence.asOf);
        common->revision = std::max(common->revision, silence.revision);
    }
    if (common->since <= common->asOf)
        confirm(common->revision, { common->asOf, true });
}

std::optional<Instant> Freshness::confirmedAsOf() const
{
    return confirmed_ ? std::optional(confirmed_->asOf) : std::nullopt;
}

std::optional<Interval> Freshness::age(Instant now) const
{
    return confirmed_ ? std::optional(std::max(Interval(0), now - confirmed_->asOf)) : std::nullopt;
}

bool Freshness::servesKeyed(StalePolicy whenStale, Instant now) const
{
    if (!confirmed_)
        return false;
    return whenStale == StalePolicy::Continue
        || now < confirmed_->asOf + settings_.maxKeyedStaleness;
}

FreshnessState Freshness::state(Instant now) const
{
    if (!confirmed_)
        return FreshnessState::Unconfirmed;
    if (now >= confirmed_->asOf + settings_.maxKeyedStaleness)
        return FreshnessState::Stale;
    return confirmed_->bySilence ? FreshnessState::StoreSilent : FreshnessState::Confirmed;
}

std::optional<FreshnessState> Freshness::stateChange(Instant now)
{
    const FreshnessState current = state(now);
    if (current == lastReportedState_)
        return std::nullopt;
    lastReportedState_ = current;
    return current;
}

std::vector<SilenceReport> Freshness::silences(Instant now) const
{
    std::vector<SilenceReport> reports;
    for (const auto &[reader, silence] : silences_) {
        if (now - silence.asOf <= settings_.maxSilenceReportAge)
            reports.push_back(
                { reader, silence.revision, now - silence.since, now - silence.asOf });
    }
    return reports;
}

} // namespace endivequay
