#include "gateway/fleettable.h"

#include <algorithm>

namespace Gateway {

namespace {

/// Most unconfirmed entries that a gateway lists, as one report names them all;
/// with more it requests the whole table again.
constexpr size_t MaxUnconfirmed = 64;

TimePoint readyTimePoint(uint32_t ms, TimePoint now) {
  return ms == 0 ? TimePoint{} : now + Utils::Milliseconds(ms);
}

} // namespace

void FleetTable::apply(const FleetLink::Heartbeat &heartbeat,
                       const Fleet::EndpointTable &endpoints, TimePoint now) {
  bool isNewLineage = heartbeat.Lineage != Known.Lineage;
  if (!isNewLineage && heartbeat.Token != Token && !continuesTable(heartbeat))
    return reset(heartbeat, {});
  Token = heartbeat.Token;
  if (isNewLineage || heartbeat.TableBaseRevision == 0 ||
      (heartbeat.TableBaseFromStore &&
       heartbeat.TableBaseRevision > Known.Revision))
    reset(heartbeat, endpoints);
  Known.Revision = std::max(Known.Revision, heartbeat.TableRevision);
  Complete = heartbeat.TableComplete;
  for (const FleetLink::EndpointEntry &it : heartbeat.Entries)
    applyEntry(it, now);
  if (isNewLineage || !heartbeat.Entries.empty() ||
      heartbeat.TableBaseFromStore)
    indexByModel();
}

/// Whether the new holder's table continues the one known here. The new holder
/// starts from the table as it knew it, which may be older than what its
/// predecessor sent to this gateway; the entries in between are unconfirmed.
/// False if this gateway missed a holder between the two, as it can't tell then
/// which entries they share, or if too many entries are unconfirmed.
bool FleetTable::continuesTable(const FleetLink::Heartbeat &heartbeat) {
  if (heartbeat.TableTakeoverRevision >=
      TableChangelog::firstRevision(Token + 1))
    return false;
  uint64_t firstOwn = TableChangelog::firstRevision(heartbeat.Token);
  for (const auto &[id, revision] : Known.Revisions)
    if (revision > heartbeat.TableTakeoverRevision && revision < firstOwn)
      Unconfirmed.insert(id);
  return Unconfirmed.size() <= MaxUnconfirmed;
}

/// Restarts with an empty table, or with what this gateway has itself read from
/// the store.
void FleetTable::reset(const FleetLink::Heartbeat &heartbeat,
                       const Fleet::EndpointTable &endpoints) {
  Known = {heartbeat.Lineage, 0, heartbeat.TableTombstoneFloor, {}};
  Token = heartbeat.Token;
  Complete = false;
  Unconfirmed.clear();
  Endpoints.clear();
  if (!heartbeat.TableBaseFromStore)
    return;
  Known.TombstoneFloor = heartbeat.TableBaseRevision;
  uint64_t revision =
      heartbeat.TableBaseRevision - FleetLink::ReservedRevisions;
  for (const auto &[id, endpoint] : endpoints.all()) {
    Known.Revisions[id] = ++revision;
    ListedEndpoint &listed = Endpoints[id];
    listed.StartedUnixMs = endpoint.Report.StartedUnixMs;
    listed.Draining = endpoint.Report.State == Fleet::EndpointState::Draining;
    for (const Fleet::ResidentModel &model : endpoint.Report.Models) {
      HeldModel &it = listed.Models[model.Name];
      for (const std::string &adapter : model.Adapters)
        it.Adapters[adapter] = {};
    }
  }
}

void FleetTable::applyEntry(const FleetLink::EndpointEntry &entry,
                            TimePoint now) {
  Known.Revisions[entry.Endpoint] = entry.Revision;
  Unconfirmed.erase(entry.Endpoint);
  if (entry.Removed) {
    Endpoints.erase(entry.Endpoint);
    return;
  }
  ListedEndpoint &listed = Endpoints[entry.Endpoint];
  listed = {{}, entry.StartedUnixMs, entry.Draining};
  for (const FleetLink::ModelEntry &model : entry.Models) {
    HeldModel &it = listed.Models[model.Name];
    it.ReadyAt = readyTimePoint(model.ReadyInMs, now);
    for (const FleetLink::AdapterEntry &adapter : model.Adapters)
      it.Adapters[adapter.Name] = readyTimePoint(adapter.ReadyInMs, now);
  }
}

void FleetTable::indexByModel() {
  EndpointsByModel.clear();
  for (const auto &[id, listed] : Endpoints)
    for (const auto &[model, held] : listed.Models)
      EndpointsByModel[model].push_back(id);
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
  const auto &models = entry->second.Models;
  auto held = models.find(model);
  if (held == models.end())
    return std::nullopt;
  if (adapter.empty())
    return held->second.ReadyAt;
  auto it = held->second.Adapters.find(adapter);
  if (it == held->second.Adapters.end())
    return std::nullopt;
  return std::max(held->second.ReadyAt, it->second);
}

const std::vector<std::string> *
FleetTable::endpointsWith(const std::string &model) const {
  static const std::vector<std::string> none;
  if (!Complete)
    return nullptr;
  auto it = EndpointsByModel.find(model);
  return it == EndpointsByModel.end() ? &none : &it->second;
}

bool FleetTable::isDraining(const std::string &endpoint) const {
  auto it = Endpoints.find(endpoint);
  return it != Endpoints.end() && it->second.Draining;
}

std::vector<std::string>
FleetTable::differing(const Fleet::EndpointTable &endpoints) const {
  std::vector<std::string> out;
  for (const auto &[id, endpoint] : endpoints.all()) {
    auto listed = Endpoints.find(id);
    if (listed == Endpoints.end() ||
        listed->second.StartedUnixMs != endpoint.Report.StartedUnixMs ||
        listed->second.Draining == endpoint.isReady())
      out.push_back(id);
  }
  for (const auto &[id, listed] : Endpoints)
    if (!endpoints.find(id))
      out.push_back(id);
  return out;
}

std::vector<std::string>
FleetTable::unlisted(const Fleet::EndpointTable &endpoints,
                     TimePoint asOf) const {
  std::vector<std::string> out;
  auto listed = Endpoints.begin(); // Both are ordered by id.
  for (const auto &[id, endpoint] : endpoints.all()) {
    while (listed != Endpoints.end() && listed->first < id)
      ++listed;
    bool isListed = listed != Endpoints.end() && listed->first == id;
    if (!isListed && endpoint.ReportedAt <= asOf)
      out.push_back(id);
  }
  return out;
}

void FleetTable::markNotReady(const std::string &endpoint,
                              const std::string &model,
                              const std::string &adapter, TimePoint until) {
  auto listed = Endpoints.find(endpoint);
  if (listed == Endpoints.end() || listed->second.Models.count(model) == 0)
    return;
  HeldModel &entry = listed->second.Models[model];
  TimePoint &ready = adapter.empty() ? entry.ReadyAt : entry.Adapters[adapter];
  ready = std::max(ready, until);
}

} // namespace Gateway
