#include "endivequay/membership.h"

#include "endivequay/digest.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace endivequay {

namespace {

// Overhead of a std::map or std::unordered_map node, without its value.
constexpr std::size_t nodeBytes = 48;
// Further events are dropped. The daemon collects events several times a second.
constexpr std::size_t maxEvents = 10'000;

std::size_t heapBytes(const std::string &text)
{
    return text.capacity() > sizeof(std::string) / 2 ? text.capacity() + 1 : 0;
}

std::uint64_t rendezvous(const FailureDomainId &domain, const Incarnation &incarnation)
{
    return hash64(domain.value(), incarnation.value());
}

} // namespace

bool Member::usable() const
{
    return identity.incarnation != Incarnation() && heardAt && !suspect
        && state == MemberState::Serving;
}

Membership::Membership(MemberIdentity self, MembershipSettings settings)
    : self_(std::move(self))
    , settings_(settings)
{ }

void Membership::setRegions(std::map<FailureDomainId, RegionId> regions)
{
    regions_ = std::move(regions);
}

void Membership::setListedInstances(const std::vector<ListedInstance> &instances, Instant now)
{
    std::set<Address> listedAddresses;
    for (const auto &instance : instances) {
        if (instance.address == self_.address)
            continue;
        listedAddresses.insert(instance.address);
        unlistedAt_.erase(instance.address);
        auto found = members_.find(instance.address);
        if (found == members_.end() && members_.size() >= settings_.maxMembers)
            continue;
        auto &member = found == members_.end() ? create(instance.address, instance.domain).member
                                               : found->second.member;
        member.listed = true;
        member.listedLeaving = instance.leaving;
    }
    for (auto &[address, entry] : members_) {
        if (entry.member.listed && !listedAddresses.contains(address)) {
            entry.member.listed = false;
            unlistedAt_.emplace(address, now);
        }
    }
}

bool Membership::helloReceived(const MemberIdentity &identity, Instant now)
{
    Entry *entry = findOrAdd(identity, now);
    if (entry == nullptr)
        return false;
    entry->member.direct = true;
    entry->directHeardAt = now;
    entry->member.heardAt = now;
    setSuspect(*entry, false);
    return true;
}

bool Membership::heartbeatReceived(const Heartbeat &heartbeat, Instant now)
{
    Entry *entry = entryOf(heartbeat.incarnation);
    if (entry == nullptr)
        return false;
    // A replaced connection may still deliver heartbeats that are older.
    if (heartbeat.sequence <= entry->directSequence)
        return true;
    Member &member = entry->member;
    entry->directSequence = heartbeat.sequence;
    entry->directHeardAt = now;
    member.sequence = std::max(member.sequence, heartbeat.sequence);
    member.heardAt = now;
    member.direct = true;
    member.revision = heartbeat.revision;
    member.confirmedAsOf.reset();
    if (heartbeat.confirmedAge)
        member.confirmedAsOf = now - *heartbeat.confirmedAge;
    member.load = heartbeat.load;
    member.syncPath = heartbeat.syncPath;
    setSuspect(*entry, false);
    setState(*entry, heartbeat.state);
    if (const auto link = links_.find(member.identity.address); link != links_.end())
        link->second.heardAt = now;
    return true;
}

void Membership::peerLeft(const Incarnation &incarnation, Instant now)
{
    Entry *entry = entryOf(incarnation);
    if (entry == nullptr)
        return;
    setState(*entry, MemberState::Leaving);
    entry->member.heardAt = now;
    report(MemberEvent::Kind::Left, *entry);
}

void Membership::digestReceived(const MemberDigest &digest, Instant now)
{
    for (const auto &update : digest.entries)
        mergeEntry(update, now);
}

void Membership::mergeEntry(const DigestEntry &update, Instant now)
{
    Entry *entry = findOrAdd(update.identity, now);
    if (entry == nullptr)
        return;
    Member &member = entry->member;
    const Instant heardAt = now - update.heardAge;
    const bool outdated = update.state == MemberState::Suspect && member.direct && !member.suspect
        && member.heardAt && *member.heardAt > heardAt;
    // Announces to the domain that this node still receives heartbeats from the member, so that
    // the others do not treat it as terminated.
    if (outdated && member.identity.domain == self_.domain)
        markChanged(*entry);
    member.heardAt = std::max(member.heardAt.value_or(heardAt), heardAt);
    mergeState(*entry, update);
}

void Membership::mergeState(Entry &entry, const DigestEntry &update)
{
    Member &member = entry.member;
    const bool newer = update.sequence > member.sequence;
    const bool suspected = update.state == MemberState::Suspect;
    if (!suspected)
        setState(entry, update.state);
    if (!member.direct && (newer || (suspected && update.sequence == member.sequence)))
        setSuspect(entry, suspected);
    member.sequence = std::max(member.sequence, update.sequence);
}

void Membership::tick(Instant now)
{
    for (auto next = members_.begin(); next != members_.end();) {
        Entry &entry = next->second;
        if (entry.member.heardAt && heartbeatTimedOut(entry, now))
            setSuspect(entry, true);
        next = removable(entry, now) ? erase(next) : std::next(next);
    }
    std::erase_if(replacedIncarnations_,
        [&](const auto &entry) { return now - entry.second.replacedAt > settings_.retention; });
    std::erase_if(retryAt_, [&](const auto &entry) { return entry.second <= now; });
    std::erase_if(unlistedAt_,
        [&](const auto &entry) { return now - entry.second > 2 * settings_.retention; });
}

bool Membership::heartbeatTimedOut(const Entry &entry, Instant now) const
{
    if (entry.member.direct)
        return now - entry.directHeardAt.value_or(now) >= settings_.suspicionTimeout;
    return now - *entry.member.heardAt >= settings_.remoteSuspicionTimeout;
}

bool Membership::removable(const Entry &entry, Instant now) const
{
    const Member &member = entry.member;
    if (member.listed)
        return false;
    return !member.heardAt || (member.suspect && now - *member.heardAt > settings_.retention);
}

void Membership::setLeaving()
{
    ownState_ = MemberState::Leaving;
}

std::vector<MemberEvent> Membership::takeEvents()
{
    return std::exchange(events_, {});
}

void Membership::report(MemberEvent::Kind kind, const Entry &entry)
{
    if (events_.size() < maxEvents)
        events_.push_back({ kind, entry.member.identity });
}

Membership::Entry *Membership::entryOf(const Incarnation &incarnation)
{
    const auto address = addressOf_.find(incarnation);
    return address == addressOf_.end() ? nullptr : &members_.at(address->second);
}

Membership::Entry *Membership::findOrAdd(const MemberIdentity &identity, Instant now)
{
    const bool own = identity.address == self_.address || identity.incarnation == self_.incarnation;
    if (own || identity.incarnation == Incarnation()
        || replacedIncarnations_.contains(identity.incarnation))
        return nullptr;
    if (Entry *known = entryOf(identity.incarnation))
        return known->member.identity.address == identity.address ? known : nullptr;

    const auto found = members_.find(identity.address);
    if (found == members_.end()) {
        if (members_.size() >= settings_.maxMembers)
            return nullptr;
        Entry &entry = create(identity.address, identity.domain);
        replaceIdentity(entry, identity, now);
        return &entry;
    }
    Entry &entry = found->second;
    const MemberIdentity old = entry.member.identity;
    if (old.incarnation != Incarnation()) {
        if (std::tuple(identity.start, identity.incarnation)
            < std::tuple(old.start, old.incarnation))
            return nullptr;
        report(MemberEvent::Kind::Replaced, entry);
        replacedIncarnations_.emplace(
            old.incarnation, ReplacedIncarnation { entry.member.heardAt, now });
        addressOf_.erase(old.incarnation);
    }
    replaceIdentity(entry, identity, now);
    return &entry;
}

void Membership::replaceIdentity(Entry &entry, const MemberIdentity &identity, Instant now)
{
    Member fresh;
    fresh.identity = identity;
    fresh.firstKnownAt = now;
    fresh.listed = entry.member.listed;
    fresh.listedLeaving = entry.member.listedLeaving;
    byDomain_[entry.member.identity.domain].erase(identity.address);
    byDomain_[identity.domain].insert(identity.address);
    addressOf_[identity.incarnation] = identity.address;
    entry.member = std::move(fresh);
    entry.rank = rendezvous(identity.domain, identity.incarnation);
    entry.directSequence = 0;
    entry.directHeardAt.reset();
    markChanged(entry);
    report(MemberEvent::Kind::Joined, entry);
}

Membership::Entry &Membership::create(const Address &address, const FailureDomainId &domain)
{
    Entry &entry = members_[address];
    entry.member.identity.address = address;
    entry.member.identity.domain = domain;
    byDomain_[domain].insert(address);
    return entry;
}

Membership::Members::iterator Membership::erase(Members::iterator entry)
{
    const MemberIdentity &identity = entry->second.member.identity;
    addressByChange_.erase(entry->second.changeNumber);
    addressOf_.erase(identity.incarnation);
    const auto domain = byDomain_.find(identity.domain);
    domain->second.erase(identity.address);
    if (domain->second.empty())
        byDomain_.erase(domain);
    return members_.erase(entry);
}

void Membership::markChanged(Entry &entry)
{
    addressByChange_.erase(entry.changeNumber);
    entry.changeNumber = ++lastChangeNumber_;
    addressByChange_.emplace(entry.changeNumber, entry.member.identity.address);
}

void Membership::setSuspect(Entry &entry, bool suspect)
{
    if (entry.member.suspect == suspect)
        return;
    entry.member.suspect = suspect;
    markChanged(entry);
    report(suspect ? MemberEvent::Kind::Suspected : MemberEvent::Kind::Recovered, entry);
}

void Membership::setState(Entry &entry, MemberState state)
{
    // Leaving is final for an incarnation.
    if (entry.member.state == state || entry.member.state == MemberState::Leaving
        || state == MemberState::Suspect)
        return;
    entry.member.state = state;
    markChanged(entry);
}

MemberDigest Membership::digestFor(const Address &peer, Instant now)
{
    MemberDigest digest { self_.incarnation, {} };
    const auto link = links_.find(peer);
    if (link == links_.end())
        return digest;
    auto next = addressByChange_.upper_bound(link->second.sentChanges);
    for (; next != addressByChange_.end() && digest.entries.size() < settings_.maxDigestEntries;
         ++next) {
        link->second.sentChanges = next->first;
        if (next->second != peer)
            digest.entries.push_back(digestEntry(members_.at(next->second), now));
    }
    if (isRotationTurnOf(peer, now))
        addRotatingEntries(digest, peer, now);
    return digest;
}

DigestEntry Membership::digestEntry(const Entry &entry, Instant now)
{
    const Member &member = entry.member;
    return { member.identity, member.sequence, member.suspect ? MemberState::Suspect : member.state,
        std::max(Interval(0), now - member.heardAt.value_or(now)) };
}

bool Membership::isRotationTurnOf(const Address &peer, Instant now) const
{
    const auto second = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
    return std::next(links_.begin(), second % static_cast<std::ptrdiff_t>(links_.size()))->first
        == peer;
}

void Membership::addRotatingEntries(MemberDigest &digest, const Address &peer, Instant now)
{
    auto next = members_.upper_bound(lastRotatedAddress_);
    for (std::size_t seen = 0; seen < members_.size(); ++seen) {
        if (digest.entries.size() >= settings_.rotationFillEntries)
            return;
        if (next == members_.end())
            next = members_.begin();
        lastRotatedAddress_ = next->first;
        const Member &member = next->second.member;
        if (member.heardAt && !member.suspect && next->first != peer)
            digest.entries.push_back(digestEntry(next->second, now));
        ++next;
    }
}

const Member *Membership::find(const Incarnation &incarnation) const
{
    const auto address = addressOf_.find(incarnation);
    return address == addressOf_.end() ? nullptr : &members_.at(address->second).member;
}

const Member *Membership::at(const Address &address) const
{
    const auto found = members_.find(address);
    return found == members_.end() ? nullptr : &found->second.member;
}

std::vector<const Member *> Membership::members() const
{
    std::vector<const Member *> all;
    all.reserve(members_.size());
    for (const auto &[address, entry] : members_)
        all.push_back(&entry.member);
    return all;
}

std::vector<const Member *> Membership::membersOf(const FailureDomainId &domain) const
{
    std::vector<const Member *> domainMembers;
    const auto found = byDomain_.find(domain);
    if (found == byDomain_.end())
        return domainMembers;
    for (const auto &address : found->second)
        domainMembers.push_back(&members_.at(address).member);
    return domainMembers;
}

std::vector<Incarnation> Membership::readers(const FailureDomainId &domain) const
{
    std::vector<std::pair<std::uint64_t, Incarnation>> ranks;
    if (domain == self_.domain && ownState_ == MemberState::Serving)
        ranks.emplace_back(rendezvous(domain, self_.incarnation), self_.incarnation);
    if (const auto found = byDomain_.find(domain); found != byDomain_.end()) {
        for (const auto &address : found->second) {
            const Entry &entry = members_.at(address);
            if (entry.member.usable())
                ranks.emplace_back(entry.rank, entry.member.identity.incarnation);
        }
    }
    const std::size_t count = std::min<std::size_t>(2, ranks.size());
    std::partial_sort(
        ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(count), ranks.end());
    std::vector<Incarnation> lowest;
    for (std::size_t i = 0; i < count; ++i)
        lowest.push_back(ranks[i].second);
    return lowest;
}

std::optional<Incarnation> Membership::keeper(const FailureDomainId &domain) const
{
    const auto lowest = readers(domain);
    return lowest.empty() ? std::nullopt : std::optional(lowest.front());
}

bool Membership::isReader() const
{
    const auto lowest = readers(self_.domain);
    return std::ranges::find(lowest, self_.incarnation) != lowest.end();
}

std::set<FailureDomainId> Membership::domainsWithMembers(const RegionId &region) const
{
    const auto present = [](const Member *member) {
        return member->listed || (member->heardAt && !member->suspect);
    };
    std::set<FailureDomainId> domains;
    if (regionOf(self_.domain) == region)
        domains.insert(self_.domain);
    for (const auto &[domain, addresses] : byDomain_) {
        if (regionOf(domain) == region && std::ranges::any_of(membersOf(domain), present))
            domains.insert(domain);
    }
    return domains;
}

std::set<Incarnation> Membership::readersOf(const RegionId &region) const
{
    std::set<Incarnation> all;
    for (const auto &domain : domainsWithMembers(region)) {
        const auto lowest = readers(domain);
        if (lowest.empty())
            return {};
        all.insert(lowest.begin(), lowest.end());
    }
    return all;
}

std::optional<RegionId> Membership::regionOf(const FailureDomainId &domain) const
{
    const auto found = regions_.find(domain);
    return found == regions_.end() ? std::nullopt : std::optional(found->second);
}

Proximity Membership::proximity(const FailureDomainId &domain) const
{
    if (domain == self_.domain)
        return Proximity::OwnDomain;
    const auto region = regionOf(domain);
    return region && region == regionOf(self_.domain) ? Proximity::OwnRegion : Proximity::Remote;
}

std::size_t Membership::memoryBytes() const
{
    std::size_t bytes = replacedIncarnations_.size() * (sizeof(ReplacedIncarnation) + nodeBytes)
        + links_.size() * (sizeof(Link) + sizeof(Address) + nodeBytes)
        + unlistedAt_.size() * (sizeof(Address) + sizeof(Instant) + nodeBytes);
    for (const auto &[address, entry] : members_) {
        // Each entry is indexed by address, domain, incarnation and change number.
        bytes += sizeof(Entry) + 4 * (nodeBytes + sizeof(Address) + heapBytes(address.value()))
            + heapBytes(entry.member.identity.domain.value())
            + entry.member.syncPath.capacity() * sizeof(Incarnation);
    }
    return bytes;
}

} // namespace endivequay
