#include "endivequay/configuration.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace endivequay {

namespace {

using namespace std::chrono_literals;

constexpr double stepsPerShiftCap = 8;

// Tolerates the rounding error of sums of fractions such as 0.1.
constexpr double fractionTolerance = 1e-9;

// Instances apply a step up to 10 s apart, and clients cache lookups for 2 s (section 3.5 of the
// design page).
constexpr Interval stepPropagationDelay = 12s;

/// One put or delete.
struct DocumentEdit
{
    std::string name;
    std::optional<std::string> text; ///< None deletes the document.
};

void addEdit(DocumentChange &change, const DocumentEdit &edit)
{
    if (edit.text)
        change.puts[edit.name] = *edit.text;
    else
        change.deletes.insert(edit.name);
}

/// Puts come before deletes. Documents are put after those that they refer to and deleted before
/// them.
int applyOrder(const DocumentEdit &edit)
{
    static constexpr std::array<std::string_view, 5> order { "regions", "services", "teams",
        "upstreams", "blocks" };
    const auto kind = edit.name.substr(0, edit.name.find('/'));
    const int rank = static_cast<int>(std::ranges::find(order, kind) - order.begin());
    return edit.text ? rank : 10 - rank;
}

std::vector<DocumentEdit> orderedEdits(const DocumentChange &change)
{
    std::vector<DocumentEdit> edits;
    for (const auto &[name, text] : change.puts)
        edits.push_back({ name, text });
    for (const std::string &name : change.deletes)
        edits.push_back({ name, std::nullopt });
    std::ranges::stable_sort(edits, {}, applyOrder);
    return edits;
}

template <class Part, class Key>
void addMissing(std::vector<Part> &parts, const std::vector<Part> &others, Key key)
{
    for (const Part &other : others) {
        const auto isSame = [&](const Part &part) { return key(part) == key(other); };
        if (std::ranges::none_of(parts, isSame))
            parts.push_back(other);
    }
}

/// Returns the text of a "regions" document with the parts of both configurations, so that every
/// reference of either resolves.
Result<std::string> mergedRegionsDocument(const Configuration &from, const Configuration &to)
{
    const auto byId = [](const auto &part) { return part.id; };
    const auto byPair = [](const auto &part) { return std::pair(part.a, part.b); };
    Topology merged = to.topology();
    addMissing(merged.regions, from.regions(), byId);
    addMissing(merged.domains, from.domains(), byId);
    addMissing(merged.sites, from.sites(), byId);
    addMissing(merged.regionDelays, from.topology().regionDelays, byPair);
    addMissing(merged.domainDelays, from.topology().domainDelays, byPair);
    addMissing(merged.links, from.topology().links, byPair);
    const auto configuration = Configuration::fromParts({ merged, {}, {}, {}, {} });
    if (!configuration)
        return configuration.lastReason();
    return configuration->toDocuments().at("regions");
}

/// Removes edits from \a remaining in order and returns those, at most \a limit, after which \a
/// base stays valid.
DocumentChange takeValidEdits(
    const Configuration &base, std::vector<DocumentEdit> &remaining, std::size_t limit)
{
    DocumentChange change;
    std::vector<DocumentEdit> postponed;
    for (DocumentEdit &edit : remaining) {
        DocumentChange candidate = change;
        addEdit(candidate, edit);
        if (change.size() < limit && base.withChange(candidate))
            change = std::move(candidate);
        else
            postponed.push_back(std::move(edit));
    }
    remaining = std::move(postponed);
    return change;
}

DocumentChange takeLeadingEdits(std::vector<DocumentEdit> &remaining, std::size_t count)
{
    const auto end = remaining.begin() + static_cast<std::ptrdiff_t>(count);
    DocumentChange change;
    std::for_each(remaining.begin(), end, [&](const DocumentEdit &edit) { addEdit(change, edit); });
    remaining.erase(remaining.begin(), end);
    return change;
}

/// Removes the next valid change to \a base from \a remaining; empty if there is none.
DocumentChange takeNextChange(
    const Configuration &base, std::vector<DocumentEdit> &remaining, std::size_t limit)
{
    std::vector<DocumentEdit> stillRemaining = remaining;
    DocumentChange change
        = takeLeadingEdits(stillRemaining, std::min(limit, stillRemaining.size()));
    if (!base.withChange(change))
        return takeValidEdits(base, remaining, limit);
    remaining = std::move(stillRemaining);
    return change;
}

double plannedFraction(const Service &service)
{
    return service.plannedShift ? service.plannedShift->fraction : 0;
}

bool sameDirection(const PlannedShift &a, const PlannedShift &b)
{
    return a.from == b.from && a.to == b.to;
}

void checkShiftStep(const Service &from, const Service &to, std::vector<Error> &errors)
{
    const std::string path = "services/" + to.id.value() + ".planned_shift";
    const double before = plannedFraction(from);
    const double after = plannedFraction(to);
    if (before > 0 && after > 0 && !sameDirection(*from.plannedShift, *to.plannedShift)) {
        errors.push_back({ "config.check", path,
            "changes its regions while it is in force; take the fraction back to 0 first" });
        return;
    }
    const double step = std::min(from.shiftCap.fraction, to.shiftCap.fraction) / stepsPerShiftCap;
    if (std::abs(after - before) > step + fractionTolerance)
        errors.push_back({ "config.check", path + ".fraction",
            fmt::format("moves from {} to {}, but one change may move it by {} (cap / 8); use "
                        "\"endivequay shift\" or keep the fraction that is in force",
                before, after, step) });
}

void addServiceWarnings(
    const Configuration &configuration, const Service &service, std::vector<Error> &list)
{
    const std::string path = "services/" + service.id.value();
    const auto warn = [&](std::string_view field, std::string reason) {
        list.push_back({ "config.warning", path + std::string(field), std::move(reason) });
    };
    if (service.whenStale == WhenStale::Continue)
        warn(".when_stale",
            "gives up the 5 s bound on withdrawn keys and the order of raised and lowered limits "
            "while a failure domain is cut off");
    if (service.routes.empty())
        warn(".routes", "has no route, so every request is refused");
    if (service.shiftCap.fraction == 0)
        warn(".shift_cap.fraction", "lets no request be served outside its home region");
    const auto upstreams = configuration.upstreamsOf(service.id);
    if (std::ranges::none_of(
            upstreams, [](const Upstream *u) { return u->state == UpstreamState::Active; }))
        warn("", "has no active upstream");
}

} // namespace

DocumentChange diffDocuments(const Documents &from, const Documents &to)
{
    DocumentChange change;
    for (const auto &[name, text] : to) {
        const auto previous = from.find(name);
        if (previous == from.end() || previous->second != text)
            change.puts.emplace(name, text);
    }
    for (const auto &[name, text] : from) {
        if (!to.contains(name))
            change.deletes.insert(name);
    }
    return change;
}

Result<std::vector<DocumentChange>> splitChanges(
    const Documents &from, const Documents &to, std::size_t limit)
{
    const auto target = Configuration::fromDocuments(to);
    if (!target)
        return target.lastReason();
    DocumentChange fullChange = diffDocuments(from, to);
    if (fullChange.size() == 0)
        return std::vector<DocumentChange> {};
    if (fullChange.size() <= limit)
        return std::vector { std::move(fullChange) };

    auto base = Configuration::fromDocuments(from);
    if (!base)
        return base.lastReason();
    std::vector<DocumentChange> changes;
    const auto accept = [&](DocumentChange change) {
        base = base->withChange(change);
        changes.push_back(std::move(change));
        return base.hasValue();
    };
    std::vector<DocumentEdit> remaining = orderedEdits(fullChange);
    if (fullChange.puts.contains("regions")) {
        const auto merged = mergedRegionsDocument(*base, *target);
        if (!merged)
            return merged.lastReason();
        if (*merged != fullChange.puts.at("regions")) {
            if (!accept({ { { "regions", *merged } }, {} }))
                return base.lastReason();
            std::rotate(remaining.begin(), remaining.begin() + 1, remaining.end());
        }
    }
    while (!remaining.empty()) {
        DocumentChange change = takeNextChange(*base, remaining, limit);
        if (change.size() == 0)
            return Error { "config.split", remaining.front().name,
                fmt::format("cannot change apart from {} other documents, but a change has at most "
                            "{}",
                    remaining.size() - 1, limit) };
        if (!accept(std::move(change)))
            return base.lastReason();
    }
    return changes;
}

std::vector<Error> checkTransition(const Configuration &from, const Configuration &to)
{
    std::vector<Error> errors;
    for (const Service &service : to.services()) {
        if (const Service *previous = from.service(service.id))
            checkShiftStep(*previous, service, errors);
    }
    return errors;
}

std::vector<Error> warnings(const Configuration &configuration)
{
    std::vector<Error> list;
    for (const Region &region : configuration.regions()) {
        if (!region.capacity)
            list.push_back({ "config.warning", "regions/" + region.id.value(),
                "has no capacity, so steering cannot protect it from overload" });
    }
    for (const Service &service : configuration.services())
        addServiceWarnings(configuration, service, list);
    for (const Team &team : configuration.teams()) {
        if (team.keys.empty())
            list.push_back({ "config.warning", "teams/" + team.id.value(),
                "has no key, so nobody can use it" });
    }
    return list;
}

Result<ShiftSteps> planShift(const Service &service, double target)
{
    const std::string path = "services/" + service.id.value();
    if (!(target >= 0 && target <= 1))
        return Error { "config.shift", path, "the fraction must be from 0 to 1" };
    const double start = plannedFraction(service);
    const double step = service.shiftCap.fraction / stepsPerShiftCap;
    ShiftSteps plan { {}, (service.shiftCap.window + stepPropagationDelay) / 3 };
    if (std::abs(target - start) <= fractionTolerance)
        return plan;
    if (step <= 0)
        return Error { "config.shift", path + ".shift_cap.fraction", "is 0, so nothing may shift" };
    const auto count
        = static_cast<int>(std::ceil(std::abs(target - start) / step - fractionTolerance));
    for (int i = 1; i < count; ++i)
        plan.fractions.push_back(start + (target > start ? step : -step) * i);
    plan.fractions.push_back(target);
    return plan;
}

} // namespace endivequay
