#include "daemon/placementduty.h"

#include "daemon/placementrecords.h"
#include "history/historyconstants.h"

namespace Daemon::Internal {

namespace {

using Placement::StepKind;

constexpr Utils::Milliseconds RoundPause(20);
constexpr Utils::Milliseconds AppendTimeout(2000);
constexpr Utils::Milliseconds RetryPause(300);
/// Time in which all daemons learn of a decision to unload.
constexpr Utils::Milliseconds UnloadGrace(300);
constexpr size_t MaxResults = 1024;
constexpr const char *Duty = History::Constants::PlacementDuty;

} // namespace

PlacementDuty::PlacementDuty(Context &context)
    : Shared(context), Keeper(context, Duty), VmWatch(context.Vms),
      Teller(context), Results(MaxResults),
      Workers(
          context, [this] { return Keeper.holds(); }, Results) {
  Policy.WeightIdle = context.Settings.WeightIdleHours;
  Policy.WeightColdStart = context.Settings.WeightColdStart;
  Policy.KeepAlive = Utils::Milliseconds(context.Settings.KeepAliveMs);
}

PlacementDuty::~PlacementDuty() { stop(); }

void PlacementDuty::start() {
  Keeper.start();
  VmWatch.start();
  Thread = std::thread([this] { run(); });
}

void PlacementDuty::stop() {
  Stopping = true;
  if (!Thread.joinable())
    return;
  Thread.join();
  VmWatch.stop();
  Keeper.stop();
}

void PlacementDuty::run() {
  while (!Stopping) {
    takeResults(Shared.Clock.Now() + RoundPause);
    if (!Shared.Follower->caughtUp())
      continue;
    bool holds = Keeper.holds();
    VmWatch.setWanted(holds);
    if (holds)
      followVmList();
    else
      Teller.tell();
    uint64_t mark = Shared.Store.read(Placement::changeMark);
    if (isDue(holds, mark))
      round(holds, mark);
    Workers.askForReports();
  }
  Workers.close();
  while (!Workers.finished())
    takeResults(Shared.Clock.Now() + RoundPause);
  takeResults(Shared.Clock.Now());
  step(false);
  Results.close();
  Workers.clear();
}

bool PlacementDuty::isDue(bool holds, uint64_t mark) const {
  return HasNews || holds != Held || mark != Mark ||
         Shared.Clock.Now() >= DueAt;
}

void PlacementDuty::round(bool holds, uint64_t mark) {
  // What was reported to an earlier term may be long past.
  if (holds && !Held) {
    Knowledge.Reports.clear();
    Knowledge.NoReportSince.clear();
  }
  HasNews = false;
  Held = holds;
  Mark = mark;
  if (holds)
    plan();
  Shared.Store.read([&](const History::State &state) {
    Placement::noteLoads(Knowledge, state, Shared.Clock.Now());
    return true;
  });
  Shared.Forecast.update(Knowledge);
  step(holds);
  Workers.follow(holds, Policy.BusyRequests);
  DueAt = Shared.Store.read([&](const History::State &state) {
    return Placement::nextDue(state, Knowledge, Policy, Shared.Clock.Now());
  });
}

void PlacementDuty::takeResults(Utils::TimePoint until) {
  while (auto result = Results.popUntil(until)) {
    take(std::move(*result));
    until = Shared.Clock.Now();
  }
}

void PlacementDuty::take(EndpointResult result) {
  Utils::TimePoint now = Shared.Clock.Now();
  Workers.noteEnd(result);
  if (result.Job.Kind != EndpointJobKind::Report) {
    Placement::endOrder(Knowledge.Orders[result.Job.Order.ReplicaId],
                        result.End, now + RetryPause);
    HasNews = true;
    return;
  }
  if (!result.Report) {
    Placement::noteNoReport(Knowledge, result.Endpoint, now);
    return;
  }
  Shared.Store.read([&](const History::State &state) {
    HasNews |= Placement::isNews(Knowledge, state, Policy, result.Endpoint,
                                 *result.Report);
    Placement::takeReport(Knowledge, state, result.Endpoint,
                          std::move(*result.Report), now);
    return true;
  });
}

void PlacementDuty::followVmList() {
  auto vms = VmWatch.take();
  if (!vms)
    return;
  auto changes = Shared.Store.read([&](const History::State &state) {
    return vmListChanges(state, *vms, Keeper.fence());
  });
  for (const History::EndpointChange &change : changes) {
    Utils::Event("endpoint_change")
        .with("endpoint", change.Endpoint)
        .with("life", History::endpointLifeName(change.Life))
        .with("fence", change.Fence)
        .info();
    appendRecord(Shared, change, AppendTimeout);
  }
  for (const std::string &daemon : daemonsThatLeft(*vms, ListedDaemons))
    recordLeft(daemon);
}

void PlacementDuty::recordLeft(const std::string &daemon) {
  History::MemberChange change;
  change.ChangeId = Utils::randomId();
  change.Action = History::MemberAction::Leave;
  change.Daemon = daemon;
  appendRecord(Shared, change, AppendTimeout);
}

void PlacementDuty::plan() {
  Utils::TimePoint now = Shared.Clock.Now();
  Knowledge.WaitingFor = Shared.Waiting.all();
  auto decisions = Shared.Store.read([&](const History::State &state) {
    Placement::noteUse(Knowledge, state, now);
    Placement::noteReplacements(Knowledge, state, Policy, now);
    return Placement::planRound(state, Knowledge, Policy, now);
  });
  for (const Placement::Decision &decision : decisions)
    decide(decision);
}

void PlacementDuty::decide(const Placement::Decision &decision) {
  auto verdict = append(changeFor(decision));
  if (!verdict || !verdict->Accepted)
    return;
  Placement::noteAdopted(Knowledge, decision.ReplicaId, verdict->At);
  if (decision.Kind != Placement::DecisionKind::Load)
    return;
  Shared.Store.read([&](const History::State &state) {
    Placement::noteLoadStart(Knowledge, state, decision, Shared.Clock.Now());
    return true;
  });
}

std::optional<History::Verdict>
PlacementDuty::append(History::ReplicaChange change) {
  change.ChangeId = Utils::randomId();
  change.Fence = Keeper.fence();
  change.Actor = Shared.Settings.Name;
  auto verdict = Shared.Appender->submitAndWait(change, Shared.Clock.Now() +
                                                            AppendTimeout);
  if (!verdict || !verdict->Accepted)
    Utils::Event("replica_change_failed")
        .with("model", change.Model)
        .with("endpoint", change.Endpoint)
        .with("why", verdict ? verdict->Reason : verdict.error().What)
        .warning();
  HasNews |= !verdict || !verdict->Accepted;
  if (!verdict)
    return std::nullopt;
  return *verdict;
}

void PlacementDuty::step(bool holds) {
  Utils::TimePoint now = Shared.Clock.Now();
  const std::string &self = Shared.Settings.Name;
  std::vector<Placement::Step> records;
  std::vector<std::pair<std::string, EndpointJob>> jobs;
  Shared.Store.read([&](const History::State &state) {
    Placement::noteDrains(Knowledge, state, UnloadGrace,
                          Utils::Milliseconds(Shared.Settings.DrainMs), now);
    for (Placement::Step &it :
         Placement::nextSteps(state, Knowledge, self, holds, now)) {
      if (!isOrder(it.Kind)) {
        records.push_back(std::move(it));
        continue;
      }
      Placement::beginOrder(Knowledge, state, self, it.ReplicaId);
      if (it.Kind == StepKind::SendUnload)
        Placement::noteUnloadSent(Knowledge, it.ReplicaId, now);
      jobs.emplace_back(state.Replicas.at(it.ReplicaId).Endpoint,
                        jobFor(state, it));
    }
    return true;
  });
  for (auto &[endpoint, job] : jobs) {
    std::string id = job.Order.ReplicaId;
    if (!Workers.submit(endpoint, std::move(job)))
      Placement::endOrder(Knowledge.Orders[id], Placement::OrderEnd::NotSent,
                          now + RetryPause);
  }
  for (const Placement::Step &it : records)
    record(it);
}

void PlacementDuty::record(const Placement::Step &step) {
  auto replica = Shared.Store.read([&](const History::State &state) {
    auto it = state.Replicas.find(step.ReplicaId);
    return it == state.Replicas.end() ? History::Replica() : it->second;
  });
  if (step.Kind == StepKind::Settle)
    Placement::noteSettling(Knowledge, step.ReplicaId);
  auto verdict = append(changeFor(replica, step));
  if (!verdict || !verdict->Accepted)
    return;
  if (step.Kind == StepKind::Adopt)
    Placement::noteAdopted(Knowledge, step.ReplicaId, verdict->At);
  if (step.Kind == StepKind::RecordReady)
    Placement::noteReady(Knowledge, replica.Model, Shared.Clock.Now());
  if (step.Kind == StepKind::RecordGone)
    Placement::noteGone(Knowledge, step.ReplicaId, replica, Shared.Clock.Now());
}

} // namespace Daemon::Internal
