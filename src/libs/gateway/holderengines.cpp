#include "gateway/fleetholder.h"

#include "gateway/gatewayconstants.h"
#include "utils/utils.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace Gateway {

namespace {

using Residency::Change;
using Residency::CopySource;
using Residency::EngineReplica;
using Residency::HeldModel;
using Residency::Order;
using Utils::TimePoint;

/// Time from an adapter's load order until it is usable. A load takes 5 to
/// 10 ms, and twice that when many adapters are fetched at once.
constexpr milliseconds AdapterLoadTime{15};
/// Time after an order for which an endpoint's record in the store is not
/// trusted: it may be one publishing interval and one read old.
constexpr milliseconds EntryLag{2500};
/// Extension of the ready time of a model whose load takes longer than
/// expected. Gateways get an updated entry at the same interval.
constexpr milliseconds BusyCheckInterval{500};
/// Call rate of a replica, per second, above which its unload is announced to
/// all gateways first, and the time then left for in-flight calls.
constexpr double MinAnnouncedRate = 0.5;
constexpr milliseconds UnloadDrainTime{40};
/// Burst and interval of the token bucket for reading engines' reports. One
/// report takes 0.3 ms of CPU time, and a VM has a quarter of a core.
constexpr int ReportBurst = 100;
constexpr milliseconds ReportSpacing{2};
/// Delay before planning when no call is queued for it.
constexpr milliseconds PlanDelay{250};
/// Pause between planning runs, as a multiple of the time the last one took.
constexpr int PlanPauseFactor = 7;

bool holdsSameModels(const EngineReplica &replica,
                     const std::vector<Fleet::ResidentModel> &models) {
  return replica.Models.size() == models.size() &&
         std::all_of(models.begin(), models.end(), [&](const auto &it) {
           return replica.find(it.Name) != nullptr;
         });
}

/// Whether the replica holds exactly the models and adapters that its endpoint
/// reported, all ready for use.
bool matchesReport(const EngineReplica &replica,
                   const Fleet::EndpointReport &report) {
  if (replica.Busy || !holdsSameModels(replica, report.Models))
    return false;
  return std::all_of(
      report.Models.begin(), report.Models.end(), [&](const auto &it) {
        const HeldModel *held = replica.find(it.Name);
        return held->ReadyAt == TimePoint{} &&
               held->Adapters.size() == it.Adapters.size() &&
               std::all_of(it.Adapters.begin(), it.Adapters.end(),
                           [&](const std::string &adapter) {
                             const auto *a = held->findAdapter(adapter);
                             return a && a->ReadyAt == TimePoint{};
                           });
      });
}

} // namespace

std::shared_ptr<OrderRunner::Context> FleetHolder::makeRunnerContext() {
  return std::make_shared<OrderRunner::Context>(OrderRunner::Context{
      Ctx.Loop, Ctx.Engines, Ctx.Settings.VmName,
      [this]() -> std::optional<int64_t> {
        return maySendOrders() ? std::optional(Token) : std::nullopt;
      },
      [this](const std::string &id) {
        const Fleet::Endpoint *it = Ctx.FleetView.endpoints().find(id);
        return it && it->isReady() ? &it->Report : nullptr;
      },
      [this](const std::string &id) {
        return Ctx.HealthTracker.health(id).CoolDownUntil;
      },
      [this](const auto &id, const auto &order) { onOrderAccepted(id, order); },
      [this](const auto &id, const auto &order) {
        return hasRoomFor(id, order);
      },
      [this](const auto &id) { onEngineBusy(id); },
      [this](const auto &id, const auto &report) {
        onEngineReport(id, report);
      },
      [this](const auto &id) { onEngineLost(id); }, [this] { Ctx.OnFenced(); },
      [this](const auto &id) { onEngineIdle(id); },
      [this](const auto &id) {
        auto it = Replicas.find(id);
        return it != Replicas.end() && it->second.Evacuated;
      }});
}

std::shared_ptr<OrderRunner> FleetHolder::runnerFor(const std::string &id) {
  auto &it = Runners[id];
  if (!it)
    it = std::make_shared<OrderRunner>(RunnerContext, id);
  return it;
}

const Fleet::Engine *FleetHolder::findEngine(const std::string &service) const {
  const auto &config = Ctx.FleetView.configuration();
  const Fleet::Service *found = config ? config->findService(service) : nullptr;
  return found && found->ModelEngine ? &*found->ModelEngine : nullptr;
}

/// Returns the delay before reading the next engine's report, by a token
/// bucket: a new holder reads the reports of all engines while it must also
/// answer the gateways.
Utils::Milliseconds FleetHolder::nextReportDelay() {
  Utils::TimePoint now = Utils::BootClock::now();
  NextReportAt = std::max(NextReportAt, now - ReportBurst * ReportSpacing);
  NextReportAt += ReportSpacing;
  return std::max(Utils::Milliseconds(0),
                  std::chrono::ceil<Utils::Milliseconds>(NextReportAt - now));
}

void FleetHolder::updateEndpoint(const Fleet::Endpoint &endpoint) {
  const Fleet::EndpointReport &report = endpoint.Report;
  if (!findEngine(report.Service))
    return;
  EngineReplica &replica = Replicas[report.Id];
  replica.Id = report.Id;
  replica.Service = report.Service;
  replica.FailureDomain = report.FailureDomain;
  replica.Evacuated =
      Ctx.FleetView.evacuations().isEvacuated(report.FailureDomain);
  replica.Usable = endpoint.isReady() && !replica.Evacuated;
  auto engineRunner = runnerFor(report.Id);
  if (replica.StartedUnixMs != report.StartedUnixMs)
    replica.Confirmed = false;
  replica.StartedUnixMs = report.StartedUnixMs;
  if (!endpoint.isReady())
    return;
  Utils::TimePoint now = Utils::BootClock::now();
  if (!replica.Confirmed) {
    replica.InMemory = report.InMemory;
    replica.OnDisk = report.OnDisk;
    reconcile(replica, report.Models);
    return engineRunner->requestReportAfter(nextReportDelay());
  }
  bool settled =
      engineRunner->isIdle() && now > engineRunner->lastOrderAt() + EntryLag;
  if (settled && !holdsSameModels(replica, report.Models))
    engineRunner->requestReport();
}

void FleetHolder::onEndpoint(const std::string &id) {
  if (const Fleet::Endpoint *endpoint = Ctx.FleetView.endpoints().find(id)) {
    noteColdTime(*endpoint);
    updateEndpoint(*endpoint);
    return noteEndpointChange(id);
  }
  if (auto it = Runners.find(id); it != Runners.end()) {
    it->second->stop();
    Runners.erase(it);
  }
  Replicas.erase(id);
  StoreLoads.forget(id);
  noteEndpointChange(id);
}

/// Replaces the models of the replica by those that the engine reports. Keeps
/// the times at which adapters were last used.
void FleetHolder::reconcile(EngineReplica &replica,
                            const std::vector<Fleet::ResidentModel> &models) {
  Utils::TimePoint now = Utils::BootClock::now();
  std::vector<HeldModel> held;
  for (const Fleet::ResidentModel &it : models) {
    const HeldModel *known = replica.find(it.Name);
    HeldModel model{it.Name, {}, {}, false};
    for (const std::string &name : it.Adapters) {
      const auto *old = known ? known->findAdapter(name) : nullptr;
      model.Adapters.push_back({name, {}, old ? old->LastUsed : now});
    }
    held.push_back(std::move(model));
  }
  replica.Models = std::move(held);
  noteEndpointChange(replica.Id);
}

namespace {

/// Canonical text of an entry, for detecting changes. It holds absolute times,
/// so that it does not change as time passes.
std::string entryContent(const FleetLink::EndpointEntry &entry,
                         const EngineReplica *replica) {
  if (entry.Removed)
    return "gone";
  std::string text = entry.Service + ' ' + entry.Address + ' ' +
                     std::to_string(entry.StartedUnixMs) +
                     (entry.Draining ? " draining" : "");
  std::set<std::string> parts;
  auto add = [&](const std::string &name, TimePoint readyAt) {
    if (readyAt != Residency::Unloading)
      parts.insert(name + '@' +
                   std::to_string(readyAt.time_since_epoch().count()));
  };
  if (replica)
    for (const HeldModel &model : replica->Models) {
      add(model.Name, model.ReadyAt);
      for (const auto &it : model.Adapters)
        add(model.Name + '/' + it.Name, it.ReadyAt);
    }
  for (const std::string &it : parts)
    text += ' ' + it;
  return text;
}

} // namespace

void FleetHolder::noteEndpointChange(const std::string &id, bool resend) {
  auto replica = Replicas.find(id);
  std::string content = entryContent(
      makeEntry(id), replica == Replicas.end() ? nullptr : &replica->second);
  if (const Fleet::Endpoint *endpoint = Ctx.FleetView.endpoints().find(id);
      endpoint && LimitsOfEndpoints.isCold(FleetLink::hashName(id),
                                           Utils::BootClock::now()))
    content += " cold@" +
               std::to_string(endpoint->ColdUntil.time_since_epoch().count());
  TableChanges.update(id, std::move(content), resend);
}

void FleetHolder::onAllEndpointsRead(const StoreEra::Position &next) {
  std::vector<std::string> differing;
  for (const auto &[id, replica] : Replicas) {
    const Fleet::Endpoint *endpoint = Ctx.FleetView.endpoints().find(id);
    if (endpoint && !matchesReport(replica, endpoint->Report))
      differing.push_back(id);
  }
  TableChanges.markReadFromStore(next, differing);
}

bool FleetHolder::hasRoomFor(const std::string &id, const Order &order) const {
  auto it = Replicas.find(id);
  const Fleet::Engine *engine =
      it == Replicas.end() ? nullptr : findEngine(it->second.Service);
  if (!engine)
    return false;
  // startTask() has already added the model or adapter to the replica.
  if (order.What == Change::LoadModel)
    return it->second.find(order.Model) &&
           Residency::freeMb(it->second, *engine) >= 0;
  if (order.What == Change::LoadAdapter)
    return it->second.adapterCount() <= engine->AdapterSlots;
  return true;
}

void FleetHolder::onOrderAccepted(const std::string &id, const Order &order) {
  auto it = Replicas.find(id);
  const Fleet::Engine *engine =
      it == Replicas.end() ? nullptr : findEngine(it->second.Service);
  if (!engine)
    return;
  EngineReplica &replica = it->second;
  Utils::TimePoint now = Utils::BootClock::now();
  HeldModel *held = replica.find(order.Model);
  const Fleet::Model *model = engine->findModel(order.Model);
  switch (order.What) {
  case Change::LoadModel:
    if (held && model)
      held->ReadyAt = now + Residency::loadTime(*model, order.From);
    if (held)
      held->Loading = true;
    StoreLoads.noteStarted(id, now);
    Residency::noteCachedCopy(replica, *engine, order.Model);
    break;
  case Change::UnloadModel:
    std::erase_if(replica.Models,
                  [&](const HeldModel &m) { return m.Name == order.Model; });
    break;
  case Change::LoadAdapter:
    if (auto *adapter = held ? held->findAdapter(order.Adapter) : nullptr)
      adapter->ReadyAt = now + AdapterLoadTime;
    break;
  case Change::UnloadAdapter:
    if (held)
      std::erase_if(held->Adapters,
                    [&](const auto &a) { return a.Name == order.Adapter; });
    break;
  }
  noteEndpointChange(id);
  if (order.What == Change::LoadModel || order.What == Change::LoadAdapter)
    notifyWaitingSoon();
}

void FleetHolder::onEngineReport(const std::string &id,
                                 const EngineReport &report) {
  auto it = Replicas.find(id);
  if (it == Replicas.end())
    return;
  if (!report.OnDisk.empty() || !report.InMemory.empty()) {
    it->second.InMemory = report.InMemory;
    it->second.OnDisk = report.OnDisk;
  }
  if (!runnerFor(id)->isIdle())
    return;
  it->second.Confirmed = true;
  StoreLoads.noteFinished(id, Utils::BootClock::now());
  reconcile(it->second, report.Models);
}

void FleetHolder::onEngineLost(const std::string &id) {
  auto it = Replicas.find(id);
  if (it == Replicas.end())
    return;
  StoreLoads.forget(id);
  it->second.Usable = false; // Until its next record.
  it->second.Confirmed = false;
  it->second.Busy = false;
  it->second.Models.clear();
  noteEndpointChange(id);
  schedulePlan();
}

void FleetHolder::onEngineIdle(const std::string &id) {
  auto it = Replicas.find(id);
  if (it == Replicas.end())
    return;
  Utils::TimePoint now = Utils::BootClock::now();
  it->second.Busy = false;
  // Roll back changes that were planned but not carried out.
  auto undo = [now](auto &list) {
    std::erase_if(list, [](const auto &held) {
      return held.ReadyAt == Residency::LoadOrdered;
    });
    for (auto &held : list)
      if (held.ReadyAt == Residency::Unloading)
        held.ReadyAt = now;
  };
  undo(it->second.Models);
  for (HeldModel &model : it->second.Models)
    undo(model.Adapters);
  noteEndpointChange(id);
  schedulePlan();
}

std::vector<Residency::PendingCalls> FleetHolder::collectPendingCalls() const {
  using Key = std::pair<Residency::ModelKey, std::string>;
  std::map<Key, Residency::PendingCalls> sums;
  Utils::TimePoint now = Utils::BootClock::now();
  for (const auto &[name, member] : Members) {
    if (now > member.ReceivedAt + QueuedDemandLifetime)
      continue;
    for (const FleetLink::WaitingCalls &it : member.LatestReport.Waiting) {
      Residency::PendingCalls &pending =
          sums[{{it.Service, it.Model}, it.Adapter}];
      pending.Key = {it.Service, it.Model};
      pending.Adapter = it.Adapter;
      pending.Calls += it.Calls;
      pending.EarliestDeadline =
          std::min(pending.EarliestDeadline,
                   member.ReceivedAt + milliseconds(it.EarliestDeadlineMs));
    }
  }
  std::vector<Residency::PendingCalls> out;
  out.reserve(sums.size());
  for (auto &[key, pending] : sums)
    out.push_back(std::move(pending));
  return out;
}

void FleetHolder::updateStoreLoadLimit() {
  double perSecond = 0;
  if (const auto &config = Ctx.FleetView.configuration())
    for (const Fleet::Service &it : config->Services)
      if (it.ModelEngine)
        perSecond = std::max(perSecond, it.ModelEngine->StoreLoadsPerSecond);
  StoreLoads.setLimit(perSecond, Ctx.Settings.LoadWindow);
}

/// Reads the reports of engines whose loads from the store are overdue.
void FleetHolder::checkOverdueStoreLoads() {
  for (const std::string &id : StoreLoads.overdue(Utils::BootClock::now()))
    runnerFor(id)->requestReport();
}

/// Postpones the ready time of models whose load takes longer than expected.
void FleetHolder::onEngineBusy(const std::string &id) {
  auto it = Replicas.find(id);
  if (it == Replicas.end())
    return;
  Utils::TimePoint now = Utils::BootClock::now();
  bool postponed = false;
  for (HeldModel &model : it->second.Models)
    if (model.Loading && model.ReadyAt <= now + BusyCheckInterval) {
      model.ReadyAt = now + BusyCheckInterval;
      postponed = true;
    }
  if (postponed)
    noteEndpointChange(id);
}

void FleetHolder::schedulePlan() { schedulePlanAfter(PlanDelay); }

void FleetHolder::schedulePlanAfter(Utils::Milliseconds delay) {
  Utils::TimePoint at =
      std::max(Utils::BootClock::now() + delay, EarliestPlanAt);
  if (at >= NextPlanAt)
    return;
  NextPlanAt = at;
  PlanTimer.callAt(at, [this] {
    NextPlanAt = Utils::TimePoint::max();
    Utils::TimePoint begun = Utils::BootClock::now();
    runPlan();
    // Leaves the rest of the CPU time to calls and reports.
    auto now = Utils::BootClock::now();
    EarliestPlanAt = now + (now - begun) * PlanPauseFactor;
  });
}

void FleetHolder::runPlan() {
  if (!maySendOrders())
    return;
  updateStoreLoadLimit();
  checkOverdueStoreLoads();
  Utils::TimePoint now = Utils::BootClock::now();
  std::map<uint32_t, uint32_t> loads;
  for (const FleetLink::EndpointCalls &it : totalLoads())
    loads[it.Endpoint] = it.Calls;
  for (auto &[id, replica] : Replicas) {
    auto load = loads.find(FleetLink::hashName(id));
    replica.Load = load == loads.end() ? 0 : load->second;
    replica.CallLimit = LimitsOfEndpoints.rateOf(FleetLink::hashName(id), now);
  }
  std::vector<Residency::PendingCalls> pendingCalls = collectPendingCalls();
  Residency::PlanInput input{
      Replicas,
      Demand,
      pendingCalls,
      [this](const std::string &service) { return findEngine(service); },
      StoreLoads.available(Utils::BootClock::now()),
      Utils::BootClock::now()};
  for (Residency::Task &task : Residency::plan(input))
    startTask(std::move(task));
}

void FleetHolder::startTask(Residency::Task task) {
  EngineReplica &replica = Replicas[task.ReplicaId];
  Utils::TimePoint now = Utils::BootClock::now();
  for (const Order &order : task.Orders) {
    HeldModel *held = replica.find(order.Model);
    Utils::Event("order_decided")
        .with("endpoint", replica.Id)
        .with("change", Residency::changeName(order.What))
        .with("model", order.Model)
        .with("adapter", order.Adapter)
        .with("source", int(order.From))
        .with("rate", Demand.rate({replica.Service, order.Model}, now))
        .info();
    switch (order.What) {
    case Change::LoadModel:
      replica.Models.push_back(
          {order.Model, Residency::LoadOrdered, {}, false});
      replica.Busy = true;
      if (order.From == CopySource::Store) {
        const Fleet::Engine *engine = findEngine(replica.Service);
        const Fleet::Model *model = engine->findModel(order.Model);
        StoreLoads.noteOrdered(replica.Id, model->StoreLoadTime, now);
      }
      break;
    case Change::UnloadModel:
      if (held)
        held->ReadyAt = Residency::Unloading;
      break;
    case Change::LoadAdapter:
      if (held)
        held->Adapters.push_back({order.Adapter, Residency::LoadOrdered, now});
      break;
    case Change::UnloadAdapter:
      if (auto *adapter = held ? held->findAdapter(order.Adapter) : nullptr)
        adapter->ReadyAt = Residency::Unloading;
      break;
    }
  }
  noteEndpointChange(replica.Id);
  // The engine refuses calls of a model or adapter that is being unloaded, so
  // gateways must stop sending them first.
  bool announced = task.Orders.front().Rate > MinAnnouncedRate;
  if (announced)
    broadcastSoon();
  runnerFor(replica.Id)
      ->add(std::move(task), announced ? fullBroadcastDelay() + UnloadDrainTime
                                       : milliseconds(0));
}

} // namespace Gateway
