#include "endivequay/configlog.h"

#include "endivequay/digest.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <unordered_set>

namespace endivequay {

namespace {

// Node of a std::map with two small strings or pointers.
constexpr std::size_t nodeBytes = 96;

std::size_t documentBytes(const std::string &name, const DocumentText &text)
{
    return name.size() + text->size();
}

} // namespace

std::size_t LoggedChange::bytes() const
{
    const std::size_t putBytes = std::accumulate(
        puts.begin(), puts.end(), std::size_t { 0 }, [](std::size_t sum, const auto &put) {
            return sum + documentBytes(put.first, put.second);
        });
    return std::accumulate(deletes.begin(), deletes.end(), putBytes + change.value().size(),
        [](std::size_t sum, const std::string &name) { return sum + name.size(); });
}

ConfigLog::ConfigLog(ConfigLogSettings settings)
    : settings_(settings)
{ }

ApplyResult ConfigLog::applyChange(LoggedChange change)
{
    if (change.revision <= revision_)
        return ApplyResult::AlreadyKnown;
    if (change.previous != revision_)
        return ApplyResult::Gap;
    // A snapshot that is being served keeps the documents as they were.
    if (documents_.use_count() > 1)
        documents_ = std::make_shared<SharedDocuments>(*documents_);
    for (const auto &[name, text] : change.puts)
        (*documents_)[name] = text;
    for (const auto &name : change.deletes)
        documents_->erase(name);
    revision_ = change.revision;
    change_ = change.change;
    addToRing(std::move(change));
    return ApplyResult::Applied;
}

ApplyResult ConfigLog::applySnapshot(Revision revision, ChangeId change, SharedDocuments documents)
{
    if (revision <= revision_)
        return ApplyResult::AlreadyKnown;
    documents_ = std::make_shared<SharedDocuments>(std::move(documents));
    revision_ = revision;
    change_ = std::move(change);
    ring_.clear();
    ringBytes_ = 0;
    transfer_.reset();
    return ApplyResult::Applied;
}

ApplyResult ConfigLog::applyUpdate(ConfigUpdate update)
{
    if (auto *part = std::get_if<SnapshotPart>(&update))
        return applyPart(std::move(*part));
    ApplyResult result = ApplyResult::AlreadyKnown;
    for (auto &change : std::get<ConfigDelta>(update).changes) {
        const ApplyResult step = applyChange(std::move(change));
        if (step == ApplyResult::Gap)
            return step;
        if (step == ApplyResult::Applied)
            result = step;
    }
    return result;
}

ApplyResult ConfigLog::applyPart(SnapshotPart part)
{
    if (part.revision <= revision_) {
        transfer_.reset();
        return ApplyResult::AlreadyKnown;
    }
    if (!transfer_ || transfer_->revision != part.revision) {
        // Later parts of a transfer that has been given up.
        if (!part.after.empty())
            return ApplyResult::Gap;
        transfer_ = Transfer { part.revision, {} };
    }
    // Duplicated and reordered parts would leave out the documents between.
    if (part.after != transfer_->after())
        return ApplyResult::AlreadyKnown;
    for (auto &[name, text] : part.documents)
        transfer_->documents.insert_or_assign(std::move(name), std::move(text));
    if (!part.last)
        return ApplyResult::Partial;
    return applySnapshot(part.revision, std::move(part.change), std::move(transfer_->documents));
}

ConfigUpdate ConfigLog::changesSince(Revision revision, const std::optional<SnapshotCursor> &cursor)
{
    if (auto delta = deltaSince(revision))
        return *std::move(delta);
    const bool servable = served_ && served_->revision > revision && ringReaches(served_->revision);
    const bool resumable = cursor && cursor->snapshot == revision_;
    if (!servable || resumable)
        served_ = Snapshot { revision_, change_, documents_ };
    return snapshotPart(cursor);
}

std::optional<ConfigDelta> ConfigLog::deltaSince(Revision revision) const
{
    if (revision >= revision_)
        return ConfigDelta {};
    auto next = std::ranges::lower_bound(ring_, revision, {}, &LoggedChange::previous);
    if (next == ring_.end() || next->previous != revision
        || next->bytes() > settings_.maxUpdateBytes)
        return std::nullopt;
    ConfigDelta delta;
    for (std::size_t bytes = 0; next != ring_.end(); ++next) {
        bytes += next->bytes();
        if (bytes > settings_.maxUpdateBytes)
            break;
        delta.changes.push_back(*next);
    }
    return delta;
}

SnapshotPart ConfigLog::snapshotPart(const std::optional<SnapshotCursor> &cursor)
{
    const bool continued = cursor && cursor->snapshot == served_->revision;
    const SharedDocuments &documents = *served_->documents;
    auto next = continued ? documents.upper_bound(cursor->after) : documents.begin();
    SnapshotPart part { served_->revision, served_->change, continued ? cursor->after : "", {},
        false };
    for (std::size_t bytes = 0; next != documents.end(); ++next) {
        bytes += documentBytes(next->first, next->second);
        // One document always fits, or the transfer would not advance.
        if (bytes > settings_.maxUpdateBytes && !part.documents.empty())
            break;
        part.documents.emplace_back(next->first, next->second);
    }
    part.last = next == documents.end();
    return part;
}

std::optional<SnapshotCursor> ConfigLog::cursor() const
{
    if (!transfer_ || transfer_->documents.empty())
        return std::nullopt;
    return SnapshotCursor { transfer_->revision, transfer_->after() };
}

std::size_t ConfigLog::memoryBytes() const
{
    std::unordered_set<const std::string *> texts;
    std::size_t bytes = 0;
    const auto add = [&](const std::string &name, const DocumentText &text) {
        bytes += nodeBytes + name.size();
        if (texts.insert(text.get()).second)
            bytes += nodeBytes + text->capacity();
    };
    const auto addAll = [&](const auto &documents) {
        for (const auto &[name, text] : documents)
            add(name, text);
    };
    addAll(*documents_);
    if (served_ && served_->documents != documents_)
        addAll(*served_->documents);
    if (transfer_)
        addAll(transfer_->documents);
    for (const auto &change : ring_) {
        addAll(change.puts);
        bytes += sizeof change + change.deletes.size() * nodeBytes;
    }
    return bytes;
}

bool ConfigLog::ringReaches(Revision revision) const
{
    return revision == revision_
        || std::ranges::binary_search(ring_, revision, {}, &LoggedChange::previous);
}

void ConfigLog::addToRing(LoggedChange change)
{
    ringBytes_ += change.bytes();
    ring_.push_back(std::move(change));
    while (ring_.size() > settings_.maxChanges || ringBytes_ > settings_.maxChangeBytes) {
        ringBytes_ -= ring_.front().bytes();
        ring_.pop_front();
    }
}

SyncSource::SyncSource(SyncSettings settings)
    : settings_(settings)
{ }

std::optional<Incarnation> SyncSource::choose(
    const SyncSelf &self, const std::vector<SyncCandidate> &candidates, Instant now)
{
    std::erase_if(avoidUntil_, [&](const auto &entry) { return entry.second <= now; });
    if (current_ && oldestUnanswered_ && now - *oldestUnanswered_ > settings_.silence)
        failed(Incarnation(*current_), now);

    const auto confirmed = [&](const SyncCandidate &candidate) {
        return candidate.confirmedAsOf && now - *candidate.confirmedAsOf <= settings_.goodEnough;
    };
    const auto rank = [&](const SyncCandidate &candidate) {
        // The hash spreads the pulling nodes over equally good sources.
        const auto number = candidate.incarnation.value();
        return std::tuple(!confirmed(candidate), candidate.proximity, candidate.path.size(),
            hash64({ reinterpret_cast<const char *>(&number), sizeof number },
                self.incarnation.value()));
    };
    const SyncCandidate *best = nullptr;
    const SyncCandidate *kept = nullptr;
    bool keepable = false;
    const bool goodEnough = self.confirmedAsOf && now - *self.confirmedAsOf <= settings_.goodEnough;
    for (const auto &candidate : candidates) {
        const bool current = candidate.incarnation == current_ && loopFree(self, candidate);
        keepable = keepable || current;
        if (current && goodEnough)
            kept = &candidate;
        if (eligible(self, candidate) && (best == nullptr || rank(candidate) < rank(*best)))
            best = &candidate;
    }
    if (kept && best && confirmed(*best)) {
        const bool nearer = best->proximity < kept->proximity;
        const bool better = rank(*best) < rank(*kept) && now - chosenAt_ >= settings_.reconsider;
        if (nearer || better)
            kept = nullptr;
    }
    if (kept)
        return current_;
    // Without a better peer the source is kept: it may be the first to learn more.
    if (best == nullptr && keepable)
        return current_;
    if (best == nullptr || best->incarnation != current_)
        clear();
    if (best != nullptr && current_ != best->incarnation) {
        current_ = best->incarnation;
        sourcePath_ = best->path;
        chosenAt_ = now;
    }
    return current_;
}

void SyncSource::pullSent(Instant now)
{
    if (!oldestUnanswered_)
        oldestUnanswered_ = now;
}

void SyncSource::replied(
    const Incarnation &self, const Incarnation &source, std::vector<Incarnation> path, Instant now)
{
    if (source != current_)
        return;
    oldestUnanswered_.reset();
    if (path.size() >= settings_.maxPath || std::ranges::find(path, self) != path.end())
        return failed(source, now);
    sourcePath_ = std::move(path);
}

void SyncSource::failed(const Incarnation &source, Instant now)
{
    avoidUntil_[source] = now + settings_.errorPause;
    if (source == current_)
        clear();
}

std::vector<Incarnation> SyncSource::path() const
{
    if (!current_)
        return {};
    std::vector<Incarnation> path { *current_ };
    path.insert(path.end(), sourcePath_.begin(), sourcePath_.end());
    return path;
}

void SyncSource::clear()
{
    current_.reset();
    sourcePath_.clear();
    oldestUnanswered_.reset();
}

bool SyncSource::loopFree(const SyncSelf &self, const SyncCandidate &candidate) const
{
    return candidate.incarnation != self.incarnation && candidate.path.size() < settings_.maxPath
        && std::ranges::find(candidate.path, self.incarnation) == candidate.path.end();
}

bool SyncSource::eligible(const SyncSelf &self, const SyncCandidate &candidate) const
{
    if (!loopFree(self, candidate) || avoidUntil_.contains(candidate.incarnation))
        return false;
    if (candidate.revision != self.revision)
        return candidate.revision > self.revision;
    return candidate.confirmedAsOf
        && (!self.confirmedAsOf
            || *candidate.confirmedAsOf > *self.confirmedAsOf + settings_.fresherBy);
}

} // namespace endivequay
