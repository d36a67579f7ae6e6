#include "gateway/fleettable.h"

#include <algorithm>

namespace Gateway {

namespace {

/// More entries in doubt than this are all told anew: one report names them.
constexpr size_t MostDoubts = 64;

TimePoint pointIn(uint32_t ms, TimePoint now) {
  return ms == 0 ? TimePoint{} : now + Utils::Milliseconds(ms);
}

} // namespace

void FleetTable::take(const FleetLink::Beat &beat,
                      const Fleet::EndpointTable &endpoints, TimePoint now) {
  bool isNew = beat.Lineage != Known.Lineage;
  if (!isNew && beat.Token != Token && !goesOn(beat))
    return begin(beat, {});
  Token = beat.Token;
  if (isNew || beat.TableSince == 0 ||
      (beat.TableSinceListed && beat.TableSince > Known.Revision))
    begin(beat, endpoints);
  Known.Revision = std::max(Known.Revision, beat.TableRevision);
  Complete = beat.TableComplete;
  for (const FleetLink::EndpointEntry &it : beat.Entries)
    takeEntry(it, now);
  if (isNew || !beat.Entries.empty() || beat.TableSinceListed)
    indexPlaces();
}

/// Another holder goes on with the table as it knew it, which may be older than
/// what its predecessor told this gateway. False if a holder between them was
/// missed, so that nothing tells which entries they share, or if too many are
/// in doubt.
bool FleetTable::goesOn(const FleetLink::Beat &beat) {
  if (beat.TableTakenOver >= TableBook::firstRevision(Token + 1))
    return false;
  uint64_t own = TableBook::firstRevision(beat.Token);
  for (const auto &[id, revision] : Known.Revisions)
    if (revision > beat.TableTakenOver && revision < own)
      Doubts.insert(id);
  return Doubts.size() <= MostDoubts;
}

/// Begins anew: with nothing, or with what this gateway has read itself.
void FleetTable::begin(const FleetLink::Beat &beat,
                       const Fleet::EndpointTable &endpoints) {
  Known = {beat.Lineage, 0, beat.TableFloor, {}};
  Token = beat.Token;
  Complete = false;
  Doubts.clear();
  Draining.clear();
  Endpoints.clear();
  if (!beat.TableSinceListed)
    return;
  Known.Floor = beat.TableSince;
  uint64_t revision = beat.TableSince - FleetLink::ListedRevisions;
  for (const auto &[id, endpoint] : endpoints.all()) {
    Known.Revisions[id] = ++revision;
    auto &held = Endpoints[id];
    for (const Fleet::ResidentModel &model : endpoint.Report.Models) {
      Held &it = held[model.Name];
      for (const std::string &adapter : model.Adapters)
        it.Adapters[adapter] = {};
    }
  }
}

void FleetTable::takeEntry(const FleetLink::EndpointEntry &entry,
                           TimePoint now) {
  Known.Revisions[entry.Endpoint] = entry.Revision;
  Doubts.erase(entry.Endpoint);
  Draining.erase(entry.Endpoint);
  if (entry.Draining)
    Draining.insert(entry.Endpoint);
  if (entry.Gone) {
    Endpoints.erase(entry.Endpoint);
    return;
  }
  auto &held = Endpoints[entry.Endpoint];
  held.clear();
  for (const FleetLink::ModelEntry &model : entry.Models) {
    Held &it = held[model.Name];
    it.ReadyAt = pointIn(model.ReadyInMs, now);
    for (const FleetLink::AdapterEntry &adapter : model.Adapters)
      it.Adapters[adapter.Name] = pointIn(adapter.ReadyInMs, now);
  }
}

void FleetTable::indexPlaces() {
  Places.clear();
  for (const auto &[id, models] : Endpoints)
    for (const auto &[model, held] : models)
      Places[model].push_back(id);
}

std::optional<TimePoint> FleetTable::readyAt(const Fleet::Endpoint &endpoint,
                                             const std::string &model,
                                             const std::string &adapter) const {
  auto entry = Endpoints.find(endpoint.Report.Id);
  if (entry == Endpoints.end()) {
    bool holds = adapter.empty() ? endpoint.hasModel(model)
                                 : endpoint.hasAdapter(model, adapter);
    return holds ? std::optional(TimePoint{}) : std::nullopt;
  }
  auto held = entry->second.find(model);
  if (held == entry->second.end())
    return std::nullopt;
  if (adapter.empty())
    return held->second.ReadyAt;
  auto it = held->second.Adapters.find(adapter);
  if (it == held->second.Adapters.end())
    return std::nullopt;
  return std::max(held->second.ReadyAt, it->second);
}

const std::vector<std::string> *
FleetTable::placesOf(const std::string &model) const {
  static const std::vector<std::string> nowhere;
  if (!Complete)
    return nullptr;
  auto it = Places.find(model);
  return it == Places.end() ? &nowhere : &it->second;
}

void FleetTable::noteAbsent(const std::string &endpoint,
                            const std::string &model,
                            const std::string &adapter, TimePoint until) {
  auto held = Endpoints.find(endpoint);
  if (held == Endpoints.end() || held->second.count(model) == 0)
    return;
  Held &entry = held->second[model];
  TimePoint &ready = adapter.empty() ? entry.ReadyAt : entry.Adapters[adapter];
  ready = std::max(ready, until);
}

} // namespace Gateway
