#include "simulatedfleet.h"

#include "gateway/fleetholder.h"

#include <algorithm>

using namespace std::chrono_literals;
using Quarantine::requestPart;

namespace {

constexpr auto Step = 5ms;
/// The operators' bound on the time in which all gateways act on what one of
/// them has learned.
constexpr auto FleetContactTime = 3000ms;
constexpr auto RestartTime = 3000ms;
constexpr int FleetCrashesBeforeBound = 3;
constexpr int MaxClientTries = 3;
constexpr auto ClientPause = 200ms;
/// As TableLifetime of a gateway: after it, one that hears no holder is alone.
constexpr auto AloneAfter = 1500ms;
const Quarantine::Part DeadlyRequest = requestPart(7);

} // namespace

SimulatedFleet::SimulatedFleet(const FleetScene &scene, unsigned seed)
    : Scene(scene), Random(seed), Members(scene.Gateways),
      DownUntil(scene.Endpoints) {
  Holder.emplace();
  HolderSince = Now - FleetContactTime;
  auto interval = Gateway::reportInterval(uint32_t(scene.Gateways));
  for (Member &it : Members)
    it.NextReportAt = Now + Milliseconds(draw(int(interval.count())));
}

bool SimulatedFleet::isCutOff(size_t gateway) const {
  return gateway < Scene.CutOff && Now < Start + Scene.CutOffUntil;
}

bool SimulatedFleet::hasHolder(size_t gateway) const {
  if (isCutOff(gateway))
    return Now < Start + AloneAfter;
  return Holder || Now < HolderSince - Scene.WithoutHolder + AloneAfter;
}

bool SimulatedFleet::isLost(size_t gateway) {
  return gateway < Scene.Lossy && draw(100) < Scene.LostPercent;
}

/// Whether the gateway has had a path to the platform, without loss, for the
/// operators' bound.
bool SimulatedFleet::isInTouch(size_t gateway) const {
  return gateway >= Scene.Lossy &&
         (gateway >= Scene.CutOff ||
          Now >= Start + Scene.CutOffUntil + FleetContactTime);
}

void SimulatedFleet::arrive(Call call) {
  call.Gateway = size_t(draw(int(Scene.Gateways)));
  call.Runs = 0;
  if (!dispatch(call))
    endClientAttempt(call);
}

/// Sends the call to an endpoint. Returns false if none may take it.
bool SimulatedFleet::dispatch(Call call) {
  Gateway::CrashEvidence &evidence = Members[call.Gateway].Evidence;
  if (evidence.quarantinedUntil({call.Request}, Now)) {
    if (!call.Deadly) {
      ++Out.HeldBack;
      auto first = FirstHeldAt.emplace(call.Request, Now).first->second;
      Out.LongestHold =
          std::max(Out.LongestHold,
                   std::chrono::duration_cast<Milliseconds>(Now - first));
    }
    return false;
  }
  std::vector<size_t> up;
  for (size_t i = 0; i < DownUntil.size(); ++i)
    if (DownUntil[i] <= Now)
      up.push_back(i);
  if (up.empty())
    return false;
  call.Endpoint = up[size_t(draw(int(up.size())))];
  ++call.Runs;
  call.SentAt = Now;
  call.EndsAt = Now + Milliseconds(call.Deadly ? 5 + draw(100) : 20 + draw(80));
  if (call.Deadly && ThirdCrashAt && Now > *ThirdCrashAt + FleetContactTime &&
      isInTouch(call.Gateway))
    ++Out.SentAfterBound;
  Running.push_back(call);
  return true;
}

/// The client tries a sound call again after a pause.
void SimulatedFleet::endClientAttempt(Call call) {
  if (!call.Deadly && ++call.ClientTries < MaxClientTries)
    Coming.emplace(Now + ClientPause, call);
}

void SimulatedFleet::crash(const Call &cause) {
  const size_t endpoint = cause.Endpoint;
  ++Out.Ended;
  if (Out.Ended == FleetCrashesBeforeBound)
    ThirdCrashAt = Now;
  DownUntil[endpoint] = Now + RestartTime;
  std::vector<Call> broken = {cause};
  std::erase_if(Running, [&](const Call &it) {
    if (it.Endpoint == endpoint)
      broken.push_back(it);
    return it.Endpoint == endpoint;
  });
  // Calls are sent again before it is certain that the endpoint has crashed.
  for (const Call &it : broken) {
    bool retried = it.Runs < Scene.Attempts &&
                   !Members[it.Gateway].Evidence.isSuspected(it.Request, Now) &&
                   dispatch(it);
    if (!retried)
      endClientAttempt(it);
  }
  std::map<size_t, Quarantine::Crash> seen;
  for (const Call &it : broken) {
    auto &crash = seen[it.Gateway];
    crash.Endpoint = uint32_t(endpoint);
    crash.At = Now - 1ms;
    crash.Suspects.push_back({{it.Request}, it.SentAt});
  }
  for (auto &[gateway, it] : seen) {
    Members[gateway].Evidence.addCrash(it, hasHolder(gateway), Now);
    Members[gateway].NextReportAt = Now + Step;
  }
  for (int after : Scene.KillHolderAfter)
    if (Out.Ended >= after && KilledAfter.insert(after).second)
      killHolder();
}

void SimulatedFleet::killHolder() {
  Holder.reset();
  ++Token;
  HolderSince = Now + Scene.WithoutHolder;
}

void SimulatedFleet::sendReport(size_t gateway) {
  Member &member = Members[gateway];
  member.NextReportAt = Now + Gateway::reportInterval(uint32_t(Scene.Gateways));
  FleetLink::Report report;
  report.Sequence = ++member.Sequence;
  member.Evidence.addTo(report, Token, Now);
  Out.MaxReportBytes =
      std::max(Out.MaxReportBytes, FleetLink::encode(report).size());
  if (Holder && !isCutOff(gateway) && !isLost(gateway))
    handleReport(gateway, report);
}

/// As FleetHolder::recordCrashes.
void SimulatedFleet::handleReport(size_t gateway,
                                  const FleetLink::Report &report) {
  for (const FleetLink::EndpointCrash &it : report.Crashes)
    Holder->addCrash(Gateway::toCrash(it, Now));
  for (const FleetLink::PartAnswer &it : report.AnsweredParts)
    Holder->addAnswer(it.Part, Now - Milliseconds(it.AgeMs));
  Holder->adopt(Gateway::fromLink(report.Quarantined, Now));
  size_t before = Holder->quarantineCount(Now);
  Holder->update(2 * Gateway::reportInterval(uint32_t(Scene.Gateways)), Now);
  sendHeartbeat(gateway);
  if (Holder->quarantineCount(Now) > before)
    for (size_t i = 0; i < Members.size(); ++i)
      sendHeartbeat(i);
}

void SimulatedFleet::sendHeartbeat(size_t gateway) {
  FleetLink::Heartbeat heartbeat;
  heartbeat.Token = Token;
  heartbeat.Sequence = Members[gateway].Sequence;
  heartbeat.Quarantined = Gateway::toLink(Holder->quarantines(), Now);
  heartbeat.WatchedParts = Holder->partsToWatch();
  Out.MaxHeartbeatBytes =
      std::max(Out.MaxHeartbeatBytes, FleetLink::encode(heartbeat).size());
  if (!isCutOff(gateway) && !isLost(gateway))
    Members[gateway].Evidence.apply(heartbeat, Now);
}

void SimulatedFleet::step() {
  Now += Step;
  if (!Holder && Now >= HolderSince) {
    Holder.emplace();
    Holder->adopt(Members.back().Evidence.quarantines());
  }
  while (!Coming.empty() && Coming.begin()->first <= Now) {
    Call call = Coming.begin()->second;
    Coming.erase(Coming.begin());
    arrive(call);
  }
  std::vector<Call> ended;
  std::erase_if(Running, [&](const Call &it) {
    if (it.EndsAt <= Now)
      ended.push_back(it);
    return it.EndsAt <= Now;
  });
  for (const Call &it : ended)
    if (!it.Deadly) {
      ++Out.Served;
      Members[it.Gateway].Evidence.addAnswer({it.Request}, Now);
    }
  for (const Call &it : ended)
    if (it.Deadly && DownUntil[it.Endpoint] <= Now)
      crash(it);
  for (size_t i = 0; i < Members.size(); ++i)
    if (Members[i].NextReportAt <= Now)
      sendReport(i);
}

FleetOutcome SimulatedFleet::play() {
  TimePoint nextDeadly = Now + 1s;
  TimePoint nextSound = Now;
  while (Now < Start + Scene.Length) {
    step();
    for (; nextDeadly <= Now; nextDeadly += Scene.DeadlyInterval) {
      Call call;
      call.Request = DeadlyRequest;
      call.Deadly = true;
      arrive(call);
    }
    for (; nextSound <= Now; nextSound += Scene.SoundInterval) {
      ++Out.Sound;
      uint64_t id = Scene.SoundRequests > 0
                        ? uint64_t(draw(int(Scene.SoundRequests)))
                        : NextRequest++;
      Call call;
      call.Request = requestPart(1000 + id);
      arrive(call);
    }
  }
  Out.Served += int(std::count_if(Running.begin(), Running.end(),
                                  [](const Call &it) { return !it.Deadly; }));
  return Out;
}
