#include "endivequay/shares.h"

#include <algorithm>

namespace endivequay {

namespace {

// There are few lenders to choose from, because an upstream has slots in one domain only.
constexpr std::size_t lendersPerRound = 2;

// A loan unused for this long is returned, so that the lender can use the slots before its term
// ends.
constexpr Interval unusedLoanTimeout = std::chrono::seconds(1);

} // namespace

int SlotShares::Resource::own(Instant at) const
{
    return at < usableUntil ? definitions.piecesAt(at) : 0;
}

int SlotShares::Resource::lentSlots() const
{
    int sum = 0;
    for (const auto &[loanId, loan] : lent)
        sum += loan.slots;
    return sum;
}

int SlotShares::Resource::freeOwn(Instant at) const
{
    return std::max(0, own(at) - lentSlots() - inFlight);
}

void SlotShares::Resource::dropExpired(Instant now)
{
    definitions.expire(now);
    std::erase_if(lent, [&](const auto &entry) { return entry.second.deadline <= now; });
    std::erase_if(borrowed, [&](const auto &entry) { return entry.second.deadline <= now; });
    std::erase_if(
        pending, [&](const auto &entry) { return entry.second.sentAt + slotLoanTerm <= now; });
    std::erase_if(cachedReplies, [&](const auto &entry) { return entry.second.expiresAt <= now; });
}

SlotShares::SlotShares(Incarnation self, FailureDomainId domain)
    : self_(self)
    , domain_(std::move(domain))
{ }

SlotShares::Resource *SlotShares::find(const ResourceId &resource, Instant now)
{
    const auto found = resources_.find(resource);
    if (found == resources_.end())
        return nullptr;
    found->second.dropExpired(now);
    return &found->second;
}

void SlotShares::define(
    const std::vector<ResourceDefinition> &definitions, Instant now, RaiseRule rule)
{
    std::map<ResourceId, std::optional<ResourceDefinition>> next;
    for (const auto &[id, resource] : resources_)
        next[id] = std::nullopt;
    for (const ResourceDefinition &definition : definitions) {
        if (definition.kind == ResourceKind::Concurrency)
            next[definition.id] = definition;
    }
    for (const auto &[id, definition] : next) {
        Resource &resource = resources_[id];
        resource.id = id;
        resource.usableUntil = usableUntil_;
        resource.dropExpired(now);
        if (!resource.definitions.adopt(definition, now, slotRaiseDelay, rule))
            continue;
        resource.definitions.setCells(domain_, cells_);
        // Borrowed slots take no new requests; those in flight end before slotRaiseDelay does.
        for (auto &[loanId, loan] : resource.borrowed)
            loan.slots = 0;
        if (definition)
            resource.lenders.setOwners(*definition, owners_, self_);
    }
    std::erase_if(resources_, [](const auto &entry) {
        const Resource &resource = entry.second;
        return resource.definitions.isObsolete() && resource.lent.empty()
            && resource.borrowed.empty() && resource.inFlight == 0;
    });
}

void SlotShares::setCells(const CellSet &cells, Instant usableUntil, Instant)
{
    const bool changed = cells != cells_;
    cells_ = cells;
    usableUntil_ = usableUntil;
    for (auto &[resourceId, resource] : resources_) {
        resource.usableUntil = usableUntil;
        if (changed)
            resource.definitions.setCells(domain_, cells);
    }
}

void SlotShares::setOwners(std::vector<DomainOwners> domains)
{
    owners_ = std::move(domains);
    for (auto &[resourceId, resource] : resources_) {
        if (const auto &definition = resource.definitions.current())
            resource.lenders.setOwners(*definition, owners_, self_);
    }
}

std::optional<SlotLease> SlotShares::acquire(
    const ResourceId &resource, Instant requestDeadline, Instant now)
{
    Resource *found = find(resource, now);
    if (!found || requestDeadline > now + maxRequestDuration)
        return std::nullopt;
    found->demand.add(1, now);
    std::optional<LoanId> loan;
    if (found->freeOwn(now) > 0) {
        ++found->inFlight;
    } else {
        const auto fits = [&](const auto &entry) {
            return entry.second.deadline > requestDeadline
                && entry.second.inFlight < entry.second.slots;
        };
        const auto borrowed = std::ranges::find_if(found->borrowed, fits);
        if (borrowed == found->borrowed.end())
            return std::nullopt;
        ++borrowed->second.inFlight;
        borrowed->second.lastUsedAt = now;
        loan = borrowed->first;
    }
    const SlotLease lease(++lastLease_);
    leases_[lease] = { resource, loan };
    return lease;
}

void SlotShares::release(SlotLease lease, Instant now)
{
    const auto held = leases_.find(lease);
    if (held == leases_.end())
        return;
    const Lease released = held->second;
    leases_.erase(held);
    Resource *found = find(released.resource, now);
    if (!found)
        return;
    if (!released.loan) {
        --found->inFlight;
        return;
    }
    if (const auto loan = found->borrowed.find(*released.loan); loan != found->borrowed.end()) {
        --loan->second.inFlight;
        loan->second.lastUsedAt = now;
    }
}

int SlotShares::freeSlots(const ResourceId &resource, Instant now)
{
    const Resource *found = find(resource, now);
    if (!found)
        return 0;
    int sum = found->freeOwn(now);
    for (const auto &[loanId, loan] : found->borrowed) {
        if (loan.deadline > now + maxRequestDuration)
            sum += std::max(0, loan.slots - loan.inFlight);
    }
    return sum;
}

std::vector<ShareOutgoing> SlotShares::requestLoans(
    const ResourceId &resource, int waiting, Instant now)
{
    Resource *found = find(resource, now);
    if (!found || !found->definitions.current())
        return {};
    std::vector<ShareOutgoing> out;
    for (const Incarnation lender : found->lenders.startRound(lendersPerRound, now, suspects_)) {
        LoanRequest request;
        request.id = { self_, ++lastSequence_ };
        request.resource = resource;
        request.definition = found->definitions.currentDigest();
        request.slots = std::max(1, waiting);
        found->pending[request.id] = { lender, now };
        out.push_back({ lender, request });
    }
    return out;
}

LoanReply SlotShares::onLoanRequest(const LoanRequest &request, Instant now)
{
    LoanReply reply;
    reply.id = request.id;
    reply.resource = request.resource;
    reply.lender = self_;
    Resource *found = find(request.resource, now);
    if (!found)
        return reply;
    if (const auto known = found->cachedReplies.find(request.id);
        known != found->cachedReplies.end())
        return known->second.reply;
    reply.definition = found->definitions.currentDigest();
    if (found->definitions.current() && request.definition == reply.definition)
        grant(*found, request, reply, now);
    found->cachedReplies[request.id] = { reply, now + slotLoanTerm + lenderMargin(slotLoanTerm) };
    return reply;
}

void SlotShares::grant(
    Resource &resource, const LoanRequest &request, LoanReply &reply, Instant now)
{
    const int spare = resource.freeOwn(now);
    const int given = resource.demand.idle(now) ? spare : spare / 2;
    reply.slots = std::clamp(request.slots, 0, given);
    if (reply.slots == 0)
        return;
    reply.term = slotLoanTerm;
    resource.lent[reply.id] = { reply.slots, now + slotLoanTerm + lenderMargin(slotLoanTerm) };
}

bool SlotShares::onLoanReply(const LoanReply &reply, Instant now)
{
    Resource *found = find(reply.resource, now);
    if (!found)
        return false;
    const auto pending = found->pending.find(reply.id);
    if (pending == found->pending.end() || pending->second.lender != reply.lender)
        return false;
    const Instant deadline = pending->second.sentAt + std::min(reply.term, slotLoanTerm);
    found->pending.erase(pending);
    found->lenders.onReply(reply, reply.slots > 0, self_, now);
    if (reply.slots <= 0 || deadline <= now
        || reply.definition != found->definitions.currentDigest())
        return false;
    found->borrowed[reply.id] = { reply.lender, reply.slots, 0, deadline, now };
    return true;
}

void SlotShares::onLoanReturn(const LoanReturn &loan, Instant now)
{
    // A borrower returns a loan only when no request uses it, so the whole loan ends.
    if (Resource *found = find(loan.resource, now))
        found->lent.erase(loan.id);
}

std::vector<ShareOutgoing> SlotShares::tick(Instant now)
{
    std::vector<ShareOutgoing> out;
    for (auto &[resourceId, resource] : resources_) {
        resource.dropExpired(now);
        const auto unused = [&](const auto &entry) {
            return entry.second.inFlight == 0
                && (now - entry.second.lastUsedAt >= unusedLoanTimeout || entry.second.slots == 0);
        };
        for (const auto &entry : resource.borrowed) {
            const auto &[id, loan] = entry;
            if (unused(entry))
                out.push_back(
                    { loan.lender, LoanReturn { id, id, resource.id, {}, 0, loan.slots } });
        }
        std::erase_if(resource.borrowed, unused);
    }
    return out;
}

bool SlotShares::fitsWithin(const CellSet &cells, Instant now)
{
    return std::ranges::all_of(resources_, [&](auto &entry) {
        Resource &resource = entry.second;
        resource.dropExpired(now);
        const int used = resource.inFlight + resource.lentSlots();
        return used == 0 || used <= resource.definitions.lowestFor(cells, now).second;
    });
}

SlotUsage SlotShares::usage(const ResourceId &resource, Instant now)
{
    const Resource *found = find(resource, now);
    if (!found)
        return {};
    SlotUsage usage;
    usage.own = found->own(now);
    usage.lent = found->lentSlots();
    usage.inFlightOwn = found->inFlight;
    for (const auto &[loanId, loan] : found->borrowed) {
        usage.borrowed += loan.slots;
        usage.inFlightBorrowed += loan.inFlight;
    }
    return usage;
}

} // namespace endivequay
