#include "daemon/endpointworkers.h"

#include <algorithm>
#include <set>

namespace Daemon::Internal {

namespace {

constexpr Utils::Milliseconds ChangingPeriod(40);
constexpr Utils::Milliseconds BusyPeriod(250);
constexpr Utils::Milliseconds UsedPeriod(1000);
constexpr Utils::Milliseconds IdlePeriod(8000);
/// Several reports within Policy::SilentAfter.
constexpr Utils::Milliseconds SuspectPeriod(500);
/// Periods vary by this share to both sides, so that engines that were asked at
/// once are soon asked evenly.
constexpr double PeriodSpread = 0.25;

Utils::Milliseconds spread(Utils::Milliseconds period, double share) {
  return Utils::Milliseconds(
      static_cast<int64_t>(share * static_cast<double>(period.count())));
}

bool isEngine(const History::Endpoint &endpoint) {
  return endpoint.Kind == History::EndpointKind::Engine &&
         endpoint.Life != History::EndpointLife::Gone;
}

std::map<std::string, ReportNeed> needsOf(const History::State &state,
                                          const std::string &self, bool holds) {
  std::map<std::string, ReportNeed> needs;
  for (const auto &[id, replica] : state.Replicas) {
    bool sends = replica.Senders.count(self) > 0;
    bool changes = replica.Phase != History::ReplicaPhase::Ready;
    if (!sends && !(holds && changes))
      continue;
    ReportNeed &need = needs[replica.Endpoint];
    need.Sending |= sends;
    need.Changing |= changes;
  }
  if (holds)
    for (const auto &[name, endpoint] : state.Endpoints)
      needs.try_emplace(name);
  std::erase_if(needs, [&](const auto &it) {
    auto endpoint = state.Endpoints.find(it.first);
    return endpoint == state.Endpoints.end() || !isEngine(endpoint->second);
  });
  return needs;
}

} // namespace

Utils::Milliseconds reportPeriod(const ReportNeed &need,
                                 uint32_t busyRequests) {
  if (need.Changing)
    return ChangingPeriod;
  if (need.Sending || need.Load.value_or(0) >= busyRequests)
    return BusyPeriod;
  return need.Load.value_or(1) > 0 ? UsedPeriod : IdlePeriod;
}

EndpointWorkers::EndpointWorkers(Context &context, std::function<bool()> mayAct,
                                 EndpointResults &results)
    : Shared(context), MayAct(std::move(mayAct)), Results(results),
      Random(Utils::fastHash(Utils::randomId())) {}

void EndpointWorkers::follow(bool holds, uint32_t busyRequests) {
  Utils::TimePoint now = Shared.Clock.Now();
  auto needs = Shared.Store.read([&](const History::State &state) {
    return needsOf(state, Shared.Settings.Name, holds);
  });
  closeOld();
  for (auto &[name, worker] : Workers)
    worker.Wanted = false;
  for (auto &[name, need] : needs) {
    auto reading = Shared.Loads.reading(name);
    if (reading && now - reading->At < Routing::LoadBoard::StaleAfter)
      need.Load = reading->Load;
    Worker *worker = workerFor(name);
    if (!worker)
      continue;
    worker->Wanted = true;
    worker->Period = reportPeriod(need, busyRequests);
  }
}

void EndpointWorkers::askForReports() {
  Utils::TimePoint now = Shared.Clock.Now();
  for (auto &[name, worker] : Workers) {
    if (!worker.Wanted || worker.ReportAsked)
      continue;
    Utils::Milliseconds period = worker.Period;
    if (isSuspect(name, worker))
      period = std::min(period, SuspectPeriod);
    if (now >= worker.ReportedAt + spread(period, worker.Spread))
      worker.ReportAsked = worker.Content->submit({});
  }
}

bool EndpointWorkers::isSuspect(const std::string &endpoint,
                                const Worker &worker) const {
  auto isNewer = [&](const std::optional<Utils::TimePoint> &at) {
    return at && *at > worker.ReportedAt;
  };
  return worker.Silent || isNewer(Shared.Outliers.lastFailure(endpoint)) ||
         isNewer(Shared.Suspects.toldAt(endpoint));
}

bool EndpointWorkers::submit(const std::string &endpoint, EndpointJob job) {
  Worker *worker = workerFor(endpoint);
  return worker && worker->Content->submit(std::move(job));
}

void EndpointWorkers::noteEnd(const EndpointResult &result) {
  auto it = Workers.find(result.Endpoint);
  if (it == Workers.end())
    return;
  Worker &worker = it->second;
  bool isReport = result.Job.Kind == EndpointJobKind::Report;
  worker.ReportAsked &= !isReport;
  if (isReport)
    worker.Silent = !result.Report;
  worker.ReportedAt = isReport ? Shared.Clock.Now() : Utils::TimePoint();
  worker.Spread = std::uniform_real_distribution<double>(
      1 - PeriodSpread, 1 + PeriodSpread)(Random);
}

EndpointWorkers::Worker *
EndpointWorkers::workerFor(const std::string &endpoint) {
  std::string address;
  uint16_t port = 0;
  auto place = Shared.Store.read([&](const History::State &state) {
    auto it = state.Endpoints.find(endpoint);
    return it == state.Endpoints.end()
               ? std::pair<std::string, uint16_t>()
               : std::pair(it->second.Address, it->second.Port);
  });
  std::tie(address, port) = place;
  if (auto it = Workers.find(endpoint); it != Workers.end() &&
                                        it->second.Address == address &&
                                        it->second.Port == port)
    return &it->second;
  auto api = Shared.Store.read([&](const History::State &state) {
    return Shared.Clients.engine(state, endpoint);
  });
  if (!api)
    return nullptr;
  Worker &worker = Workers[endpoint];
  if (worker.Content) {
    worker.Content->close();
    Closed.push_back(std::move(worker.Content));
  }
  worker = Worker();
  worker.Address = address;
  worker.Port = port;
  worker.Content = std::make_unique<EndpointWorker>(endpoint, std::move(*api),
                                                    MayAct, Results);
  return &worker;
}

void EndpointWorkers::closeOld() {
  auto known = Shared.Store.read([&](const History::State &state) {
    std::set<std::string> names;
    for (const auto &[name, endpoint] : state.Endpoints)
      if (isEngine(endpoint))
        names.insert(name);
    return names;
  });
  for (auto it = Workers.begin(); it != Workers.end();) {
    if (known.count(it->first)) {
      ++it;
      continue;
    }
    it->second.Content->close();
    Closed.push_back(std::move(it->second.Content));
    it = Workers.erase(it);
  }
  std::erase_if(Closed, [](const auto &it) { return it->finished(); });
}

void EndpointWorkers::close() {
  for (auto &[name, worker] : Workers)
    worker.Content->close();
}

bool EndpointWorkers::finished() const {
  return std::all_of(Workers.begin(), Workers.end(), [](const auto &it) {
    return it.second.Content->finished();
  });
}

void EndpointWorkers::clear() {
  Workers.clear();
  Closed.clear();
}

} // namespace Daemon::Internal
