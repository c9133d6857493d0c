#include "endivequay/configlog.h"

#include "endivequay/digest.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <unordered_set>

namespace endivequay {

namespace {

// Size of a std::map node with two small strings or pointers.
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
    // Copy on write: a snapshot that is being served shares the documents.
    if (documents_.use_count() > 1)
        documents_ = std::make_shared<SharedDocuments>(*documents_);
    for (const auto &[name, text] : change.puts)
        (*documents_)[name] = text;
    for (const auto &name : change.deletes)
        documents_->erase(name);
    revision_ = change.revision;
    change_ = change.change;
    retainChange(std::move(change));
    return ApplyResult::Applied;
}

ApplyResult ConfigLog::applySnapshot(Revision revision, ChangeId change, SharedDocuments documents)
{
    if (revision <= revision_)
        return ApplyResult::AlreadyKnown;
    documents_ = std::make_shared<SharedDocuments>(std::move(documents));
    revision_ = revision;
    change_ = std::move(change);
    recentChanges_.clear();
    recentChangeBytes_ = 0;
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
        // A later part of an abandoned transfer.
        if (!part.after.empty())
            return ApplyResult::Gap;
        transfer_ = Transfer { part.revision, {} };
    }
    // A duplicated or reordered part would skip documents.
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
    const bool servable = servedSnapshot_ && servedSnapshot_->revision > revision
        && retainsChangesSince(servedSnapshot_->revision);
    const bool resumable = cursor && cursor->snapshot == revision_;
    if (!servable || resumable)
        servedSnapshot_ = Snapshot { revision_, change_, documents_ };
    return snapshotPart(cursor);
}

std::optional<ConfigDelta> ConfigLog::deltaSince(Revision revision) const
{
    if (revision >= revision_)
        return ConfigDelta {};
    auto next = std::ranges::lower_bound(recentChanges_, revision, {}, &LoggedChange::previous);
    if (next == recentChanges_.end() || next->previous != revision
        || next->bytes() > settings_.maxUpdateBytes)
        return std::nullopt;
    ConfigDelta delta;
    for (std::size_t bytes = 0; next != recentChanges_.end(); ++next) {
        bytes += next->bytes();
        if (bytes > settings_.maxUpdateBytes)
            break;
        delta.changes.push_back(*next);
    }
    return delta;
}

SnapshotPart ConfigLog::snapshotPart(const std::optional<SnapshotCursor> &cursor)
{
    const bool continued = cursor && cursor->snapshot == servedSnapshot_->revision;
    const SharedDocuments &documents = *servedSnapshot_->documents;
    auto next = continued ? documents.upper_bound(cursor->after) : documents.begin();
    SnapshotPart part { servedSnapshot_->revision, servedSnapshot_->change,
        continued ? cursor->after : "", {}, false };
    for (std::size_t bytes = 0; next != documents.end(); ++next) {
        bytes += documentBytes(next->first, next->second);
        // The first document is always included; otherwise the transfer could not make progress.
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
    if (servedSnapshot_ && servedSnapshot_->documents != documents_)
        addAll(*servedSnapshot_->documents);
    if (transfer_)
        addAll(transfer_->documents);
    for (const auto &change : recentChanges_) {
        addAll(change.puts);
        bytes += sizeof change + change.deletes.size() * nodeBytes;
    }
    return bytes;
}

bool ConfigLog::retainsChangesSince(Revision revision) const
{
    return revision == revision_
        || std::ranges::binary_search(recentChanges_, revision, {}, &LoggedChange::previous);
}

void ConfigLog::retainChange(LoggedChange change)
{
    recentChangeBytes_ += change.bytes();
    recentChanges_.push_back(std::move(change));
    while (recentChanges_.size() > settings_.maxChanges
        || recentChangeBytes_ > settings_.maxChangeBytes) {
        recentChangeBytes_ -= recentChanges_.front().bytes();
        recentChanges_.pop_front();
    }
}

SyncSource::SyncSource(SyncSettings settings)
    : settings_(settings)
{ }

std::optional<Incarnation> SyncSource::choose(
    const SyncNodeState &self, const std::vector<SyncCandidate> &candidates, Instant now)
{
    std::erase_if(retryAt_, [&](const auto &entry) { return entry.second <= now; });
    if (current_ && oldestUnanswered_ && now - *oldestUnanswered_ > settings_.replyTimeout)
        failed(Incarnation(*current_), now);

    const auto confirmed = [&](const SyncCandidate &candidate) {
        return candidate.confirmedAsOf
            && now - *candidate.confirmedAsOf <= settings_.maxSourceStaleness;
    };
    const auto rank = [&](const SyncCandidate &candidate) {
        // The hash distributes the pulling nodes over equally good sources.
        const auto number = candidate.incarnation.value();
        return std::tuple(!confirmed(candidate), candidate.proximity, candidate.path.size(),
            hash64({ reinterpret_cast<const char *>(&number), sizeof number },
                self.incarnation.value()));
    };
    const SyncCandidate *best = nullptr;
    const SyncCandidate *kept = nullptr;
    bool currentUsable = false;
    const bool selfFresh
        = self.confirmedAsOf && now - *self.confirmedAsOf <= settings_.maxSourceStaleness;
    for (const auto &candidate : candidates) {
        const bool current = candidate.incarnation == current_ && isLoopFree(self, candidate);
        currentUsable = currentUsable || current;
        if (current && selfFresh)
            kept = &candidate;
        if (isEligible(self, candidate) && (best == nullptr || rank(candidate) < rank(*best)))
            best = &candidate;
    }
    if (kept && best && confirmed(*best)) {
        const bool nearer = best->proximity < kept->proximity;
        const bool better
            = rank(*best) < rank(*kept) && now - chosenAt_ >= settings_.reselectionInterval;
        if (nearer || better)
            kept = nullptr;
    }
    if (kept)
        return current_;
    // Without a better peer the source is kept, as it may be the first to receive new changes.
    if (best == nullptr && currentUsable)
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
    if (path.size() >= settings_.maxPathLength || std::ranges::find(path, self) != path.end())
        return failed(source, now);
    sourcePath_ = std::move(path);
}

void SyncSource::failed(const Incarnation &source, Instant now)
{
    retryAt_[source] = now + settings_.failedSourceDelay;
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

bool SyncSource::isLoopFree(const SyncNodeState &self, const SyncCandidate &candidate) const
{
    return candidate.incarnation != self.incarnation
        && candidate.path.size() < settings_.maxPathLength
        && std::ranges::find(candidate.path, self.incarnation) == candidate.path.end();
}

bool SyncSource::isEligible(const SyncNodeState &self, const SyncCandidate &candidate) const
{
    if (!isLoopFree(self, candidate) || retryAt_.contains(candidate.incarnation))
        return false;
    if (candidate.revision != self.revision)
        return candidate.revision > self.revision;
    return candidate.confirmedAsOf
        && (!self.confirmedAsOf
            || *candidate.confirmedAsOf > *self.confirmedAsOf + settings_.minFreshnessGain);
}

} // namespace endivequay
