#include "leaseworld.h"

#include "history/historyconstants.h"
#include "utils/digest.h"

#include <sstream>
#include <stdexcept>

namespace LeaseWorld {

namespace {

using History::ReplicaAction;
using History::ReplicaChange;
using Placement::OrderEnd;
using Placement::StepKind;

constexpr uint64_t EndpointMb = 100;
constexpr uint64_t ModelMb = 60;
constexpr uint32_t MaxReversals = 3;
constexpr uint32_t MaxEngineDeaths = 1;
constexpr const char *EngineName = "engine";
constexpr const char *Models[] = {"m0", "m1"};
const Lease::Policy Policy{Utils::Milliseconds(400), 0.25};

const History::State &newest(const World &world) { return *world.Folds.back(); }
const History::State &viewOf(const World &world, const DaemonModel &daemon) {
  return *world.Folds[daemon.Read];
}

History::Verdict append(World &world, const History::Record &record) {
  auto next = std::make_shared<History::State>(newest(world));
  std::string bytes = History::encodeRecords({record});
  History::Position at = History::positionOf(world.Folds.size(), 0);
  History::Verdict verdict = History::apply(*next, at, record);
  world.LogHash = Utils::fastHash(bytes, world.LogHash);
  world.Folds.push_back(std::move(next));
  return verdict;
}

std::string nextId(World &world) {
  return "c" + std::to_string(world.NextId++);
}

bool holds(const DaemonModel &daemon) {
  return daemon.Alive && Lease::holds(daemon.Watch, daemon.Now);
}

bool stepLease(World &world, DaemonModel &daemon) {
  if (daemon.LeaseRecord.Sent)
    return false;
  const History::State &state = viewOf(world, daemon);
  auto it = state.Leases.find(History::Constants::PlacementDuty);
  Lease::observe(daemon.Watch,
                 it == state.Leases.end() ? History::Lease() : it->second,
                 daemon.Now);
  bool idle = daemon.Now < Lease::idleUntil(daemon.Watch, Policy);
  auto change =
      Lease::nextChange(daemon.Watch, History::Constants::PlacementDuty,
                        daemon.Name, Policy, daemon.Now);
  if (!change)
    return true;
  if (idle)
    throw std::logic_error("a daemon said to be idle has a change to make");
  change->ChangeId = daemon.Watch.PendingId = nextId(world);
  daemon.LeaseRecord = {*change, true, false, {}};
  return true;
}

bool appendOut(World &world, Outgoing &out) {
  if (!out.Sent || out.Appended)
    return false;
  out.Result = append(world, out.Content);
  out.Appended = true;
  return true;
}

bool answerLease(World &world, DaemonModel &daemon) {
  Outgoing &out = daemon.LeaseRecord;
  if (!out.Appended)
    return false;
  daemon.Read = world.Folds.size() - 1;
  Lease::settle(daemon.Watch, std::get<History::LeaseChange>(out.Content),
                out.Result, Policy);
  out = {};
  return true;
}

bool abandon(DaemonModel &daemon, Outgoing &out) {
  if (!out.Sent)
    return false;
  if (!out.Appended) {
    if (!daemon.Late.empty())
      return false;
    daemon.Late.push_back(out.Content);
  }
  out = {};
  return true;
}

ReplicaChange changeOf(World &world, const DaemonModel &daemon,
                       ReplicaAction action, const std::string &id) {
  ReplicaChange change;
  change.ChangeId = nextId(world);
  change.Action = action;
  change.Fence = daemon.Watch.HeldFence;
  change.Actor = daemon.Name;
  change.ReplicaId = id;
  change.Endpoint = EngineName;
  return change;
}

/// Loads one model, then changes its mind a few times, also while it loads.
bool decide(World &world, DaemonModel &daemon) {
  const History::State &state = viewOf(world, daemon);
  if (!holds(daemon) || daemon.DutyRecord.Sent ||
      world.Reversals >= MaxReversals)
    return false;
  ReplicaChange change;
  if (state.Replicas.empty()) {
    change = changeOf(world, daemon, ReplicaAction::DecideLoad,
                      "r" + std::to_string(world.NextId));
    change.Model = Models[world.Reversals % 2];
  } else {
    const auto &[id, replica] = *state.Replicas.begin();
    if (replica.Phase == History::ReplicaPhase::Unloading)
      return false;
    ++world.Reversals;
    change = changeOf(world, daemon, ReplicaAction::DecideUnload, id);
  }
  daemon.DutyRecord = {change, true, false, {}};
  return true;
}

bool isOrder(const Placement::Step &step) {
  return step.Kind == StepKind::SendLoad || step.Kind == StepKind::SendUnload;
}

void prepareOrder(World &world, DaemonModel &daemon,
                  const Placement::Step &step) {
  const History::State &state = viewOf(world, daemon);
  const History::Replica &replica = state.Replicas.at(step.ReplicaId);
  Placement::beginOrder(daemon.Knowledge, state, daemon.Name, step.ReplicaId);
  daemon.Prepared.push_back({step.Kind, step.ReplicaId, replica.Model,
                             replica.MemoryMb, step.At, true});
}

void prepareRecord(World &world, DaemonModel &daemon,
                   const Placement::Step &step) {
  static const std::map<StepKind, ReplicaAction> actions = {
      {StepKind::Adopt, ReplicaAction::Adopt},
      {StepKind::RecordReady, ReplicaAction::Ready},
      {StepKind::RecordGone, ReplicaAction::Gone},
      {StepKind::Settle, ReplicaAction::Settled}};
  ReplicaChange change =
      changeOf(world, daemon, actions.at(step.Kind), step.ReplicaId);
  if (step.Kind == StepKind::Settle) {
    change.Settles = step.At;
    Placement::noteSettling(daemon.Knowledge, step.ReplicaId);
  }
  daemon.DutyRecord = {change, true, false, {}};
}

bool stepDuty(World &world, DaemonModel &daemon) {
  if (daemon.DutyRecord.Sent || !daemon.Prepared.empty())
    return false;
  auto steps = Placement::nextSteps(viewOf(world, daemon), daemon.Knowledge,
                                    daemon.Name, holds(daemon), daemon.Now);
  if (steps.empty())
    return false;
  if (isOrder(steps.front()))
    prepareOrder(world, daemon, steps.front());
  else
    prepareRecord(world, daemon, steps.front());
  return true;
}

bool answerDuty(World &world, DaemonModel &daemon) {
  Outgoing &out = daemon.DutyRecord;
  if (!out.Appended)
    return false;
  daemon.Read = world.Folds.size() - 1;
  const auto &change = std::get<ReplicaChange>(out.Content);
  world.Unloads +=
      change.Action == ReplicaAction::Gone && out.Result.Accepted ? 1 : 0;
  bool adopts = change.Action == ReplicaAction::DecideLoad ||
                change.Action == ReplicaAction::DecideUnload ||
                change.Action == ReplicaAction::Adopt;
  if (adopts && out.Result.Accepted)
    Placement::noteAdopted(daemon.Knowledge, change.ReplicaId, out.Result.At);
  out = {};
  return true;
}

OrderEnd carryOut(EndpointModel &endpoint, const OrderOnWay &order) {
  History::Position &newestFence = endpoint.Fences[order.Model];
  if (endpoint.ChecksFencing && order.Fence < newestFence)
    return OrderEnd::Refused;
  newestFence = std::max(newestFence, order.Fence);
  auto it = endpoint.Held.find(order.Model);
  if (order.Kind == StepKind::SendLoad) {
    if (it == endpoint.Held.end()) {
      endpoint.HeldBefore = endpoint.Held;
      endpoint.Held[order.Model] = order.ReplicaId;
    }
    return OrderEnd::Taken;
  }
  if (it != endpoint.Held.end() && it->second == order.ReplicaId) {
    endpoint.HeldBefore = endpoint.Held;
    endpoint.Held.erase(it);
  }
  return OrderEnd::Gone;
}

bool handleOrder(World &world, DaemonModel &daemon) {
  if (daemon.Channel.empty())
    return false;
  OrderOnWay order = daemon.Channel.front();
  daemon.Channel.erase(daemon.Channel.begin());
  OrderEnd end = carryOut(world.Endpoint, order);
  if (order.Awaited)
    Placement::endOrder(daemon.Knowledge.Orders[order.ReplicaId], end,
                        daemon.Now);
  return true;
}

bool loseAnswer(DaemonModel &daemon) {
  for (OrderOnWay &order : daemon.Channel) {
    if (!order.Awaited)
      continue;
    order.Awaited = false;
    Placement::endOrder(daemon.Knowledge.Orders[order.ReplicaId],
                        OrderEnd::Unknown, daemon.Now);
    return true;
  }
  return false;
}

bool readReport(World &world, DaemonModel &daemon,
                const std::map<std::string, std::string> &held) {
  if (!daemon.Channel.empty())
    return false;
  Engine::Report report;
  for (const auto &[model, id] : held)
    report.Models.push_back({model, id, Engine::HeldPhase::Ready, 0, 0});
  Placement::takeReport(daemon.Knowledge, viewOf(world, daemon), EngineName,
                        report, daemon.Now);
  return true;
}

bool killDaemon(World &world, DaemonModel &daemon) {
  if (!world.Daemons[0].Alive || !world.Daemons[1].Alive)
    return false;
  daemon.Alive = false;
  daemon.Prepared.clear();
  daemon.Channel.clear();
  History::MemberChange leave;
  leave.ChangeId = nextId(world);
  leave.Action = History::MemberAction::Leave;
  leave.Daemon = daemon.Name;
  append(world, leave);
  return true;
}

bool killEngine(World &world) {
  if (world.EngineDeaths >= MaxEngineDeaths || world.Endpoint.ChecksFencing)
    return false;
  ++world.EngineDeaths;
  world.Endpoint.HeldBefore = world.Endpoint.Held;
  world.Endpoint.Held.clear();
  return true;
}

bool tickClocks(World &world, Utils::Milliseconds tick) {
  for (DaemonModel &it : world.Daemons)
    it.Now +=
        std::chrono::duration_cast<Utils::TimePoint::duration>(tick * it.Rate);
  return true;
}

bool sendOrder(DaemonModel &daemon) {
  if (daemon.Prepared.empty())
    return false;
  daemon.Channel.push_back(daemon.Prepared.front());
  daemon.Prepared.erase(daemon.Prepared.begin());
  return true;
}

bool appendLate(World &world, DaemonModel &daemon) {
  if (daemon.Late.empty())
    return false;
  append(world, daemon.Late.front());
  daemon.Late.clear();
  return true;
}

bool readLog(World &world, DaemonModel &daemon) {
  if (daemon.Read + 1 >= world.Folds.size())
    return false;
  ++daemon.Read;
  return true;
}

void addTable(History::State &state) {
  for (const char *model : Models) {
    Table::ModelSpec spec;
    spec.Weights = model;
    spec.MemoryMb = ModelMb;
    state.Table.Models[model] = spec;
  }
}

} // namespace

World makeWorld(bool checksFencing) {
  World world;
  auto first = std::make_shared<History::State>();
  addTable(*first);
  History::Endpoint endpoint;
  endpoint.MemoryMb = EndpointMb;
  endpoint.ChecksFencing = checksFencing;
  first->Endpoints[EngineName] = endpoint;
  world.Folds.push_back(std::move(first));
  world.Endpoint.ChecksFencing = checksFencing;
  constexpr double rates[] = {0.75, 1.25};
  for (int i = 0; i < 2; ++i) {
    DaemonModel &daemon = world.Daemons[i];
    daemon.Name = "d" + std::to_string(i);
    daemon.Rate = rates[i];
    daemon.Now = Utils::TimePoint() + std::chrono::hours(1);
  }
  return world;
}

bool perform(World &world, Act act, int index, Utils::Milliseconds tick) {
  DaemonModel &daemon = world.Daemons[index];
  if (act == Act::Tick)
    return tickClocks(world, tick);
  if (act == Act::KillEngine)
    return killEngine(world);
  if (!daemon.Alive)
    return act == Act::AppendLate && appendLate(world, daemon);
  switch (act) {
  case Act::ReadLog:
    return readLog(world, daemon);
  case Act::StepLease:
    return stepLease(world, daemon);
  case Act::AppendLease:
    return appendOut(world, daemon.LeaseRecord);
  case Act::AnswerLease:
    return answerLease(world, daemon);
  case Act::AbandonLease:
    if (!abandon(daemon, daemon.LeaseRecord))
      return false;
    Lease::abandon(daemon.Watch);
    return true;
  case Act::StepDuty:
    return stepDuty(world, daemon);
  case Act::Decide:
    return decide(world, daemon);
  case Act::AppendDuty:
    return appendOut(world, daemon.DutyRecord);
  case Act::AnswerDuty:
    return answerDuty(world, daemon);
  case Act::AbandonDuty:
    return abandon(daemon, daemon.DutyRecord);
  case Act::AppendLate:
    return appendLate(world, daemon);
  case Act::SendOrder:
    return sendOrder(daemon);
  case Act::HandleOrder:
    return handleOrder(world, daemon);
  case Act::LoseAnswer:
    return loseAnswer(daemon);
  case Act::ReadReport:
    return readReport(world, daemon, world.Endpoint.Held);
  case Act::ReadLaggingReport:
    return readReport(world, daemon, world.Endpoint.HeldBefore);
  case Act::KillDaemon:
    return killDaemon(world, daemon);
  default:
    return false;
  }
}

std::string brokenInvariant(const World &world) {
  if (holds(world.Daemons[0]) && holds(world.Daemons[1]))
    return "two holders act at once";
  const History::State &state = newest(world);
  if (state.Endpoints.at(EngineName).ChargedMb > EndpointMb)
    return "more memory is charged than there is";
  uint64_t usedMb = 0;
  for (const auto &[model, id] : world.Endpoint.Held) {
    usedMb += ModelMb;
    if (!state.Replicas.count(id))
      return "replica " + id + " is loaded but not decided";
  }
  return usedMb > EndpointMb ? "the endpoint's memory is overcommitted" : "";
}

uint64_t fingerprint(const World &world) {
  std::ostringstream out;
  auto since = [](Utils::TimePoint at) {
    return at.time_since_epoch().count();
  };
  out << world.LogHash << ' ' << world.Reversals << ' ' << world.EngineDeaths;
  for (const DaemonModel &it : world.Daemons) {
    const Lease::Watch &watch = it.Watch;
    out << '|' << it.Read << ' ' << since(it.Now) << ' ' << it.Alive << ' '
        << since(watch.SeenAt) << ' ' << watch.Seen.Renewal << ' '
        << watch.HeldFence << ' ' << since(watch.HeldUntil) << ' '
        << watch.PendingId << ' ' << it.LeaseRecord.Sent
        << it.LeaseRecord.Appended << it.DutyRecord.Sent
        << it.DutyRecord.Appended << ' '
        << History::recordId(it.DutyRecord.Content);
    for (const History::Record &late : it.Late)
      out << " late " << History::recordId(late);
    for (const OrderOnWay &order : it.Prepared)
      out << " prepared " << order.Fence << static_cast<int>(order.Kind);
    for (const OrderOnWay &order : it.Channel)
      out << " sent " << order.Fence << static_cast<int>(order.Kind)
          << order.Awaited;
    for (const auto &[id, trace] : it.Knowledge.Orders)
      out << ' ' << id << ' ' << trace.Adopted << ' ' << trace.Decision << ' '
          << trace.InFlight << trace.OutcomeUnknown << trace.Taken
          << trace.HeldNoMore << trace.SoleSender << since(trace.RetryAt);
    for (const auto &[name, report] : it.Knowledge.Reports)
      for (const Engine::HeldModel &held : report.Content.Models)
        out << " reported " << held.ReplicaId;
    out << it.Knowledge.Reports.size();
  }
  for (const auto *held : {&world.Endpoint.Held, &world.Endpoint.HeldBefore}) {
    out << '#';
    for (const auto &[model, id] : *held)
      out << model << id;
  }
  for (const auto &[model, fence] : world.Endpoint.Fences)
    out << model << fence;
  return Utils::fastHash(out.str());
}

} // namespace LeaseWorld
