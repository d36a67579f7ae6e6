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
using Residency::HeldModel;
using Residency::Order;
using Residency::Place;
using Utils::TimePoint;

/// Time from an adapter's order to its use. Adapters take 5 to 10 ms, and as
/// long again when many are fetched.
constexpr milliseconds AdapterLoadTime{15};
/// Kept behind an order until an endpoint's entry is believed again: the entry
/// may be one interval and one read old.
constexpr milliseconds EntryLag{2500};
/// Time after which an engine that is busy longer than expected is looked at
/// again; gateways are told as often.
constexpr milliseconds BusyAgain{500};
/// Calls a second of a replica that is to be unloaded from which all gateways
/// are told before, and the time for their calls under way.
constexpr double RateToAnnounce = 0.5;
constexpr milliseconds AnnouncePause{40};
/// Engines that are asked for their report at once, and the time for each one
/// after them; a report takes 0.3 ms of a core of which a VM has a quarter.
constexpr int ReportsAtOnce = 100;
constexpr milliseconds ReportEvery{2};
/// Pause before a plan that nobody waits for.
constexpr milliseconds PlanPause{250};
/// Times the length of a plan that pass before the next one begins.
constexpr int PlanTimeShare = 7;

bool sameModels(const Place &place,
                const std::vector<Fleet::ResidentModel> &models) {
  return place.Models.size() == models.size() &&
         std::all_of(models.begin(), models.end(), [&](const auto &it) {
           return place.find(it.Name) != nullptr;
         });
}

/// Whether the place holds just what its endpoint has reported, for use.
bool isAsReported(const Place &place, const Fleet::EndpointReport &report) {
  if (place.Busy || !sameModels(place, report.Models))
    return false;
  return std::all_of(
      report.Models.begin(), report.Models.end(), [&](const auto &it) {
        const HeldModel *held = place.find(it.Name);
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
      It.Loop, It.Engines, It.Settings.VmName,
      [this]() -> std::optional<int64_t> {
        return mayAct() ? std::optional(Token) : std::nullopt;
      },
      [this](const std::string &id) {
        const Fleet::Endpoint *it = It.Known.endpoints().find(id);
        return it && it->isReady() ? &it->Report : nullptr;
      },
      [this](const std::string &id) { return It.Board.health(id).RestUntil; },
      [this](const auto &id, const auto &order) { onTaken(id, order); },
      [this](const auto &id, const auto &order) { return fits(id, order); },
      [this](const auto &id) { onBusy(id); },
      [this](const auto &id, const auto &report) { onReported(id, report); },
      [this](const auto &id) { onLost(id); }, [this] { It.Fenced(); },
      [this](const auto &id) { onIdle(id); }});
}

std::shared_ptr<OrderRunner> FleetHolder::runner(const std::string &id) {
  auto &it = Runners[id];
  if (!it)
    it = std::make_shared<OrderRunner>(RunnerContext, id);
  return it;
}

const Fleet::Engine *FleetHolder::engineOf(const std::string &service) const {
  const auto &config = It.Known.configuration();
  const Fleet::Service *found = config ? config->findService(service) : nullptr;
  return found && found->ModelEngine ? &*found->ModelEngine : nullptr;
}

/// Pause before the next of many engines is asked: a holder that takes over
/// asks them all, and has the gateways to answer at the same time.
Utils::Milliseconds FleetHolder::reportTurn() {
  Utils::TimePoint now = Utils::BootClock::now();
  NextReportAt = std::max(NextReportAt, now - ReportsAtOnce * ReportEvery);
  NextReportAt += ReportEvery;
  return std::max(Utils::Milliseconds(0),
                  std::chrono::ceil<Utils::Milliseconds>(NextReportAt - now));
}

void FleetHolder::adoptEndpoint(const Fleet::Endpoint &endpoint) {
  const Fleet::EndpointReport &report = endpoint.Report;
  if (!engineOf(report.Service))
    return;
  Place &place = Places[report.Id];
  place.Id = report.Id;
  place.Service = report.Service;
  place.FailureDomain = report.FailureDomain;
  place.Usable = endpoint.isReady();
  auto run = runner(report.Id);
  if (place.StartedUnixMs != report.StartedUnixMs)
    place.Confirmed = false;
  place.StartedUnixMs = report.StartedUnixMs;
  if (!place.Usable)
    return;
  Utils::TimePoint now = Utils::BootClock::now();
  if (!place.Confirmed) {
    place.InMemory = report.InMemory;
    place.OnDisk = report.OnDisk;
    reconcile(place, report.Models);
    return run->askReportAfter(reportTurn());
  }
  bool quiet = run->isIdle() && now > run->lastOrderAt() + EntryLag;
  if (quiet && !sameModels(place, report.Models))
    run->askReport();
}

void FleetHolder::onEndpoint(const std::string &id) {
  if (const Fleet::Endpoint *endpoint = It.Known.endpoints().find(id)) {
    adoptEndpoint(*endpoint);
    return changed(id);
  }
  if (auto it = Runners.find(id); it != Runners.end()) {
    it->second->stop();
    Runners.erase(it);
  }
  Places.erase(id);
  StoreLoads.forget(id);
  changed(id);
}

/// Takes over what the engine says that it holds.
void FleetHolder::reconcile(Place &place,
                            const std::vector<Fleet::ResidentModel> &models) {
  Utils::TimePoint now = Utils::BootClock::now();
  std::vector<HeldModel> held;
  for (const Fleet::ResidentModel &it : models) {
    const HeldModel *known = place.find(it.Name);
    HeldModel model{it.Name, {}, {}, false};
    for (const std::string &name : it.Adapters) {
      const auto *old = known ? known->findAdapter(name) : nullptr;
      model.Adapters.push_back({name, {}, old ? old->LastUsed : now});
    }
    held.push_back(std::move(model));
  }
  place.Models = std::move(held);
  changed(place.Id);
}

namespace {

/// What an entry says, in one text that does not depend on when it is asked.
std::string contentOf(const FleetLink::EndpointEntry &entry,
                      const Place *place) {
  if (entry.Gone)
    return "gone";
  std::string text = entry.Service + ' ' + entry.Address + ' ' +
                     std::to_string(entry.StartedUnixMs) +
                     (entry.Draining ? " draining" : "");
  std::set<std::string> parts;
  auto add = [&](const std::string &name, TimePoint readyAt) {
    if (readyAt != Residency::Leaving)
      parts.insert(name + '@' +
                   std::to_string(readyAt.time_since_epoch().count()));
  };
  if (place)
    for (const HeldModel &model : place->Models) {
      add(model.Name, model.ReadyAt);
      for (const auto &it : model.Adapters)
        add(model.Name + '/' + it.Name, it.ReadyAt);
    }
  for (const std::string &it : parts)
    text += ' ' + it;
  return text;
}

} // namespace

void FleetHolder::changed(const std::string &id, bool anew) {
  auto place = Places.find(id);
  Book.note(
      id,
      contentOf(entryOf(id), place == Places.end() ? nullptr : &place->second),
      anew);
}

void FleetHolder::onListed(uint64_t next) {
  std::vector<std::string> others;
  for (const auto &[id, place] : Places) {
    const Fleet::Endpoint *endpoint = It.Known.endpoints().find(id);
    if (endpoint && !isAsReported(place, endpoint->Report))
      others.push_back(id);
  }
  Book.noteListed(next, others);
}

bool FleetHolder::fits(const std::string &id, const Order &order) const {
  auto it = Places.find(id);
  const Fleet::Engine *engine =
      it == Places.end() ? nullptr : engineOf(it->second.Service);
  if (!engine)
    return false;
  // What is to be loaded is counted already.
  if (order.What == Change::LoadModel)
    return it->second.find(order.Model) &&
           Residency::freeMb(it->second, *engine) >= 0;
  if (order.What == Change::LoadAdapter)
    return it->second.adapterCount() <= engine->AdapterSlots;
  return true;
}

void FleetHolder::onTaken(const std::string &id, const Order &order) {
  auto it = Places.find(id);
  const Fleet::Engine *engine =
      it == Places.end() ? nullptr : engineOf(it->second.Service);
  if (!engine)
    return;
  Place &place = it->second;
  Utils::TimePoint now = Utils::BootClock::now();
  HeldModel *held = place.find(order.Model);
  const Fleet::Model *model = engine->findModel(order.Model);
  switch (order.What) {
  case Change::LoadModel:
    if (held && model)
      held->ReadyAt = now + Residency::loadTime(*model, order.From);
    if (held)
      held->Loading = true;
    StoreLoads.taken(id, now);
    Residency::noteCopies(place, *engine, order.Model);
    break;
  case Change::UnloadModel:
    std::erase_if(place.Models,
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
  changed(id);
  if (order.What == Change::LoadModel || order.What == Change::LoadAdapter)
    tellWaiting();
}

void FleetHolder::onReported(const std::string &id,
                             const EngineReport &report) {
  auto it = Places.find(id);
  if (it == Places.end())
    return;
  if (!report.OnDisk.empty() || !report.InMemory.empty()) {
    it->second.InMemory = report.InMemory;
    it->second.OnDisk = report.OnDisk;
  }
  if (!runner(id)->isIdle())
    return;
  it->second.Confirmed = true;
  StoreLoads.end(id, Utils::BootClock::now());
  reconcile(it->second, report.Models);
}

void FleetHolder::onLost(const std::string &id) {
  auto it = Places.find(id);
  if (it == Places.end())
    return;
  StoreLoads.forget(id);
  it->second.Usable = false; // Until its next entry.
  it->second.Confirmed = false;
  it->second.Busy = false;
  it->second.Models.clear();
  changed(id);
  planSoon();
}

void FleetHolder::onIdle(const std::string &id) {
  auto it = Places.find(id);
  if (it == Places.end())
    return;
  Utils::TimePoint now = Utils::BootClock::now();
  it->second.Busy = false;
  // What was to change and did not is as it was.
  auto undo = [now](auto &list) {
    std::erase_if(list, [](const auto &held) {
      return held.ReadyAt == Residency::Ordered;
    });
    for (auto &held : list)
      if (held.ReadyAt == Residency::Leaving)
        held.ReadyAt = now;
  };
  undo(it->second.Models);
  for (HeldModel &model : it->second.Models)
    undo(model.Adapters);
  changed(id);
  planSoon();
}

std::vector<Residency::Need> FleetHolder::needs() const {
  using Key = std::pair<Residency::ModelKey, std::string>;
  std::map<Key, Residency::Need> sums;
  Utils::TimePoint now = Utils::BootClock::now();
  for (const auto &[name, member] : Members) {
    if (now > member.HeardAt + WaitingLifetime)
      continue;
    for (const FleetLink::WaitingCalls &it : member.Newest.Waiting) {
      Residency::Need &need = sums[{{it.Service, it.Model}, it.Adapter}];
      need.Key = {it.Service, it.Model};
      need.Adapter = it.Adapter;
      need.Calls += it.Calls;
      need.EarliestDeadline =
          std::min(need.EarliestDeadline,
                   member.HeardAt + milliseconds(it.EarliestDeadlineMs));
    }
  }
  std::vector<Residency::Need> out;
  out.reserve(sums.size());
  for (auto &[key, need] : sums)
    out.push_back(std::move(need));
  return out;
}

void FleetHolder::limitStoreLoads() {
  double perSecond = 0;
  if (const auto &config = It.Known.configuration())
    for (const Fleet::Service &it : config->Services)
      if (it.ModelEngine)
        perSecond = std::max(perSecond, it.ModelEngine->StoreLoadsPerSecond);
  StoreLoads.setLimit(perSecond, It.Settings.LoadWindow);
}

/// Asks the engines whose loads from the store should be done.
void FleetHolder::watchStoreLoads() {
  for (const std::string &id : StoreLoads.overdue(Utils::BootClock::now()))
    runner(id)->askReport();
}

/// An engine is busy longer than expected: what it loads is not ready yet.
void FleetHolder::onBusy(const std::string &id) {
  auto it = Places.find(id);
  if (it == Places.end())
    return;
  Utils::TimePoint now = Utils::BootClock::now();
  bool late = false;
  for (HeldModel &model : it->second.Models)
    if (model.Loading && model.ReadyAt <= now + BusyAgain) {
      model.ReadyAt = now + BusyAgain;
      late = true;
    }
  if (late)
    changed(id);
}

void FleetHolder::planSoon() { planAfter(PlanPause); }

void FleetHolder::planAfter(Utils::Milliseconds pause) {
  Utils::TimePoint at = std::max(Utils::BootClock::now() + pause, NoPlanBefore);
  if (at >= PlanAt)
    return;
  PlanAt = at;
  PlanTimer.expires_at(at);
  PlanTimer.async_wait([this](const std::error_code &ec) {
    if (ec)
      return;
    PlanAt = Utils::TimePoint::max();
    Utils::TimePoint begun = Utils::BootClock::now();
    planNow();
    // The rest of the time is for callers and reports.
    auto now = Utils::BootClock::now();
    NoPlanBefore = now + (now - begun) * PlanTimeShare;
  });
}

void FleetHolder::planNow() {
  if (!mayAct())
    return;
  limitStoreLoads();
  watchStoreLoads();
  std::map<uint32_t, uint32_t> loads;
  for (const FleetLink::EndpointCalls &it : fleetLoads())
    loads[it.Endpoint] = it.Calls;
  for (auto &[id, place] : Places) {
    auto load = loads.find(FleetLink::keyOf(id));
    place.Load = load == loads.end() ? 0 : load->second;
  }
  std::vector<Residency::Need> open = needs();
  Residency::Situation situation{
      Places,
      Demand,
      open,
      [this](const std::string &service) { return engineOf(service); },
      StoreLoads.left(Utils::BootClock::now()),
      Utils::BootClock::now()};
  for (Residency::Task &task : Residency::plan(situation))
    begin(std::move(task));
}

void FleetHolder::begin(Residency::Task task) {
  Place &place = Places[task.PlaceId];
  Utils::TimePoint now = Utils::BootClock::now();
  for (const Order &order : task.Orders) {
    HeldModel *held = place.find(order.Model);
    Utils::Event("order_decided")
        .with("endpoint", place.Id)
        .with("change", Residency::changeName(order.What))
        .with("model", order.Model)
        .with("adapter", order.Adapter)
        .with("source", int(order.From))
        .with("rate", Demand.rate({place.Service, order.Model}, now))
        .info();
    switch (order.What) {
    case Change::LoadModel:
      place.Models.push_back({order.Model, Residency::Ordered, {}, false});
      place.Busy = true;
      if (order.From == CopySource::Store) {
        const Fleet::Engine *engine = engineOf(place.Service);
        const Fleet::Model *model = engine->findModel(order.Model);
        StoreLoads.begin(place.Id, model->StoreLoadTime, now);
      }
      break;
    case Change::UnloadModel:
      if (held)
        held->ReadyAt = Residency::Leaving;
      break;
    case Change::LoadAdapter:
      if (held)
        held->Adapters.push_back({order.Adapter, Residency::Ordered, now});
      break;
    case Change::UnloadAdapter:
      if (auto *adapter = held ? held->findAdapter(order.Adapter) : nullptr)
        adapter->ReadyAt = Residency::Leaving;
      break;
    }
  }
  changed(place.Id);
  // Calls that are sent to what is unloaded would be refused.
  bool called = task.Orders.front().Rate > RateToAnnounce;
  if (called)
    tellAllSoon();
  runner(place.Id)->add(std::move(task), called ? tellAllPause() + AnnouncePause
                                                : milliseconds(0));
}

} // namespace Gateway
