#include "gateway/fleetholder.h"

#include "gateway/gatewayconstants.h"
#include "utils/utils.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Gateway {

namespace {

/// A gateway that has sent no report for this time no longer counts as live.
constexpr milliseconds MemberTimeout{2000};
/// Share of the operators' slack on limits by which grants may overdraw a
/// bucket. The rest covers what gateways admit while no holder answers, and
/// usage that was lost when gateways died.
constexpr double OverdraftShareOfSlack = 0.2;

/// Time in which gateways report their demand for models to a new holder.
constexpr milliseconds DemandSettleTime{600};
/// Maximum staleness of an engine's report. A report read this long after a
/// former holder gave up the duty shows all of that holder's orders.
constexpr milliseconds EngineReportLag{400};
/// Delay before planning for queued calls, so that one plan serves several.
constexpr milliseconds UrgentPlanDelay{2};
/// Lifetime of the cached sum of the gateways' loads; the reports that it sums
/// are older than that.
constexpr milliseconds TotalLoadsLifetime{100};
/// Most other gateways that the duty's record names: enough for one of them to
/// be alive when a gateway starts, and 200 bytes of a record that is written
/// every 600 ms.
constexpr size_t MaxRecordedPeers = 8;
/// Minimum delay before a heartbeat with a change, which batches changes.
constexpr milliseconds MinBroadcastDelay{3};

/// Interval between reports in a small fleet. The holder's data on limits and
/// loads is half an interval old on average.
constexpr milliseconds MinReportInterval{250};
/// Report interval per gateway of the fleet, so that the holder of up to 350
/// gateways receives at most 500 reports per second.
constexpr milliseconds ReportIntervalPerMember{2};

/// Share of the VM's network link that endpoint entries may take while many
/// gateways restart, and the heartbeats per second in a large fleet.
constexpr double EntryShareOfLink = 0.25;
constexpr double HeartbeatsPerSecond = 500;
/// Bounds of the bytes for entries in one heartbeat. The maximum leaves space
/// for the other fields in the datagram.
constexpr double MinEntryBytesPerHeartbeat = 1000;
constexpr double MaxEntryBytesPerHeartbeat = 44'000;
constexpr size_t MaxEntriesPerHeartbeat = 500;

/// Maximum heartbeats per second for changes between reports. In simulations
/// of 195 gateways and 90 orders per second, grant requests are answered in
/// time at this rate; they are not if every change is sent to all at once,
/// which takes 65,000 heartbeats per second.
constexpr int64_t MaxChangeHeartbeatsPerSecond = 2000;

TableChangelog::HeartbeatLimits entryLimitsPerHeartbeat(double linkMbps) {
  constexpr double bytesPerMbit = 125'000;
  double bytes =
      linkMbps * bytesPerMbit * EntryShareOfLink / HeartbeatsPerSecond;
  return {MaxEntriesPerHeartbeat,
          size_t(std::clamp(bytes, MinEntryBytesPerHeartbeat,
                            MaxEntryBytesPerHeartbeat))};
}

std::optional<std::map<uint32_t, double>>
decodeRecordedLevels(const std::string &notes) {
  if (notes.empty())
    return std::nullopt;
  auto levels = FleetLink::decodeLevels(notes);
  if (!levels) {
    Utils::Event("duty_notes_unreadable")
        .with("error", levels.error().What)
        .error();
    return std::nullopt;
  }
  std::map<uint32_t, double> out;
  for (const FleetLink::TeamLevel &it : *levels)
    out[it.Team] = it.Level;
  return out;
}

/// Start of the revisions of a holder, apart from those of its predecessors.
uint64_t firstLimitsRevision(int64_t token) { return uint64_t(token) << 32; }

uint32_t msUntil(Utils::TimePoint at, Utils::TimePoint now) {
  if (at <= now)
    return 0;
  constexpr int64_t maxMs = 3600'000;
  return uint32_t(std::min(maxMs, Utils::msBetween(now, at) + 1));
}

} // namespace

Utils::Milliseconds broadcastDelay(uint32_t gateways) {
  constexpr int64_t msPerSecond = 1000;
  return std::max(
      MinBroadcastDelay,
      milliseconds(gateways * msPerSecond / MaxChangeHeartbeatsPerSecond));
}

Utils::Milliseconds reportInterval(uint32_t gateways) {
  return std::clamp<Utils::Milliseconds>(ReportIntervalPerMember * gateways,
                                         MinReportInterval, MaxReportInterval);
}

FleetHolder::FleetHolder(Context context, int64_t token,
                         const TakeoverState &inherited)
    : Ctx(std::move(context)), Token(token), StartedAt(Utils::BootClock::now()),
      NextReportAt(token == 1 ? StartedAt : StartedAt + EngineReportLag),
      Limits({inherited.Levels, decodeRecordedLevels(Ctx.PreviousNotes),
              token == 1 && Ctx.Settings.FirstStart, Ctx.PreviousMembers,
              Ctx.Settings.LimitSlack * OverdraftShareOfSlack},
             StartedAt),
      LimitsRevision(firstLimitsRevision(token)),
      TableChanges(token, inherited.Table), PlanTimer(Ctx.Loop),
      NotifyTimer(Ctx.Loop), BroadcastTimer(Ctx.Loop) {
  RunnerContext = makeRunnerContext();
  Crashes.adopt(inherited.Quarantines);
  onConfiguration();
  for (const auto &[id, endpoint] : Ctx.FleetView.endpoints().all())
    onEndpoint(id);
  TableChanges.adoptRevisions(inherited.Table);
  for (const std::string &id : inherited.DifferingEndpoints)
    noteEndpointChange(id, true);
  if (auto read = Ctx.ReadProgress(); read.EndpointsNext > 0)
    onAllEndpointsRead({read.InEra, read.EndpointsNext});
  bool isFirst = token == 1;
  if (!isFirst || !Ctx.Settings.FirstStart)
    EarliestPlanAt = StartedAt + DemandSettleTime;
}

FleetHolder::~FleetHolder() { stop(); }

void FleetHolder::stop() {
  for (auto &[id, runner] : Runners)
    runner->stop();
  PlanTimer.cancel();
  NotifyTimer.cancel();
  BroadcastTimer.cancel();
}

void FleetHolder::broadcast() {
  Utils::TimePoint now = Utils::BootClock::now();
  for (const auto &[name, member] : Members)
    if (now < member.ReceivedAt + MemberTimeout)
      sendHeartbeat(member);
}

void FleetHolder::onConfiguration() {
  Utils::TimePoint now = Utils::BootClock::now();
  const auto &config = Ctx.FleetView.configuration();
  if (!config)
    return;
  Limits.setLimits(*config, now);
  for (const auto &[id, endpoint] : Ctx.FleetView.endpoints().all())
    noteColdTime(endpoint);
  broadcast();
}

void FleetHolder::onEvacuations() {
  const Fleet::Evacuations &evacuations = Ctx.FleetView.evacuations();
  for (const auto &[id, replica] : Replicas)
    if (replica.Evacuated != evacuations.isEvacuated(replica.FailureDomain))
      if (const Fleet::Endpoint *it = Ctx.FleetView.endpoints().find(id))
        updateEndpoint(*it);
  schedulePlanAfter(milliseconds(0));
}

// Gateways.

void FleetHolder::handleReport(const FleetLink::Report &report) {
  Utils::TimePoint now = Utils::BootClock::now();
  Member &member = Members[report.Member];
  bool sameProcess = member.LatestReport.Incarnation == report.Incarnation;
  if (sameProcess && report.Sequence <= member.LatestReport.Sequence)
    return;
  endColdLimits(now);
  Limits.recordHeartbeat(report.Member, report.Leaving, now);
  for (const FleetLink::EndpointLimit &it : report.EndpointLimits)
    mergeEndpointLimit(fromLink(it, now), now);
  Limits.capLevels(report.Levels, now);
  Limits.applyUsage(report.Member, report.Incarnation, report.Sequence,
                    report.Teams, now);
  for (const FleetLink::ModelCalls &it : report.Calls)
    recordUse(it, now);
  member.LatestReport = report;
  member.ReceivedAt = now;
  if (report.Token == Token && report.HeartbeatStampMs > 0)
    member.SentNotBefore = Utils::TimePoint(milliseconds(
        int64_t(report.HeartbeatStampMs) + int64_t(report.HeartbeatAgeMs)));
  for (const FleetLink::ModelMiss &it : report.ModelMisses)
    if (Replicas.count(it.Endpoint) > 0) {
      noteEndpointChange(it.Endpoint, true);
      runnerFor(it.Endpoint)->requestReport();
    }
  for (const FleetLink::LeavingEndpoint &it : report.LeavingEndpoints)
    Ctx.NoteLeaving(it.Endpoint, it.StartedUnixMs);
  for (const std::string &id : report.UnconfirmedEndpoints)
    noteEndpointChange(id, true);
  recordCrashes(report, now);
  if (!report.Waiting.empty())
    schedulePlanAfter(UrgentPlanDelay);
  else if (!report.EndpointLimits.empty()) // Calls may be refused, not waiting.
    schedulePlan();
  sendHeartbeat(member);
}

std::string FleetHolder::notes() {
  return FleetLink::encodeLevels(
      Limits.levelsToRecord(Utils::BootClock::now()));
}

std::vector<std::string> FleetHolder::peers() const {
  Utils::TimePoint now = Utils::BootClock::now();
  std::vector<std::string> live;
  for (const auto &[name, member] : Members)
    if (name != Ctx.Settings.VmName && !member.LatestReport.Leaving &&
        now < member.ReceivedAt + MemberTimeout)
      live.push_back(member.LatestReport.Address);
  if (live.size() <= MaxRecordedPeers)
    return live;
  // Spread over the names, which mostly tell the failure domains apart.
  std::vector<std::string> out;
  for (size_t i = 0; i < MaxRecordedPeers; ++i)
    out.push_back(live[i * live.size() / MaxRecordedPeers]);
  return out;
}

uint8_t FleetHolder::highestStrength() const {
  Utils::TimePoint now = Utils::BootClock::now();
  uint8_t highest = 0;
  for (const auto &[name, member] : Members)
    if (now < member.ReceivedAt + MemberTimeout && !member.LatestReport.Leaving)
      highest = std::max(highest, member.LatestReport.Strength);
  return highest;
}

bool FleetHolder::maySendOrders() const {
  return Ctx.MaySendOrders(!Ctx.HoldsLease() && isStoreUnreachableForAll());
}

bool FleetHolder::isStoreUnreachableForAll() const {
  std::vector<Duty::GatewayStatus> fleet;
  fleet.reserve(Members.size());
  for (const auto &[name, member] : Members)
    fleet.push_back({member.SentNotBefore, member.LatestReport.StoreCallFailed,
                     member.LatestReport.Leaving});
  auto fencing = Ctx.Settings.EnginesCheckTokens ? Duty::Fencing::Checked
                                                 : Duty::Fencing::Ignored;
  return Duty::isStoreUnreachableForAll(fleet, Ctx.PreviousMembers, fencing,
                                        Duty::Policy{},
                                        Utils::BootClock::now());
}

void FleetHolder::announce(const std::string &address) {
  Member recipient;
  recipient.LatestReport.Address = address;
  sendHeartbeat(recipient);
}

uint32_t FleetHolder::liveMemberCount() const {
  Utils::TimePoint now = Utils::BootClock::now();
  return uint32_t(
      std::count_if(Members.begin(), Members.end(), [&](const auto &it) {
        return !it.second.LatestReport.Leaving &&
               now < it.second.ReceivedAt + MemberTimeout;
      }));
}

/// Sums the loads reported by live gateways, at most once per
/// TotalLoadsLifetime.
const std::vector<FleetLink::EndpointCalls> &FleetHolder::totalLoads() {
  Utils::TimePoint now = Utils::BootClock::now();
  if (now < TotalLoadsAt + TotalLoadsLifetime)
    return TotalLoads;
  TotalLoadsAt = now;
  std::map<uint32_t, uint32_t> sums;
  for (const auto &[name, member] : Members)
    if (now < member.ReceivedAt + MemberTimeout)
      for (const FleetLink::EndpointCalls &it : member.LatestReport.Loads)
        sums[it.Endpoint] += it.Calls;
  TotalLoads.clear();
  for (const auto &[key, n] : sums)
    TotalLoads.push_back({key, uint16_t(std::min(n, 65535U))});
  return TotalLoads;
}

void FleetHolder::sendHeartbeat(const Member &member) {
  Ctx.Send(member.LatestReport.Address, makeHeartbeat(member));
}

/// Schedules heartbeats to the gateways that have queued calls.
void FleetHolder::notifyWaitingSoon() {
  if (std::exchange(NotifyScheduled, true))
    return;
  auto now = Utils::BootClock::now();
  auto waiting = std::count_if(Members.begin(), Members.end(), [&](auto &it) {
    return isWaiting(it.second, now);
  });
  NotifyTimer.callAfter(broadcastDelay(uint32_t(waiting)), [this] {
    NotifyScheduled = false;
    for (const auto &[name, member] : Members)
      if (isWaiting(member, Utils::BootClock::now()))
        sendHeartbeat(member);
  });
}

/// Whether the gateway's latest report, if recent, lists queued calls.
bool FleetHolder::isWaiting(const Member &member, Utils::TimePoint now) {
  return !member.LatestReport.Waiting.empty() &&
         now < member.ReceivedAt + QueuedDemandLifetime;
}

/// Longest time until a change has been sent to all gateways.
Utils::Milliseconds FleetHolder::fullBroadcastDelay() const {
  return broadcastDelay(liveMemberCount());
}

void FleetHolder::broadcastSoon() {
  if (std::exchange(BroadcastScheduled, true))
    return;
  BroadcastTimer.callAfter(fullBroadcastDelay(), [this] {
    BroadcastScheduled = false;
    broadcast();
  });
}

namespace {

void addModels(FleetLink::EndpointEntry &entry,
               const Residency::EngineReplica &replica, Utils::TimePoint now) {
  for (const Residency::HeldModel &model : replica.Models) {
    if (model.isUnloading())
      continue;
    FleetLink::ModelEntry out{model.Name, msUntil(model.ReadyAt, now), {}};
    for (const Residency::HeldAdapter &it : model.Adapters)
      if (it.ReadyAt != Residency::Unloading)
        out.Adapters.push_back({it.Name, msUntil(it.ReadyAt, now)});
    entry.Models.push_back(std::move(out));
  }
}

uint32_t ageInMs(Utils::TimePoint at, Utils::TimePoint now) {
  constexpr int64_t maxAgeMs = 3600'000;
  return uint32_t(std::clamp<int64_t>(Utils::msBetween(at, now), 0, maxAgeMs));
}

} // namespace

FleetLink::EndpointEntry FleetHolder::makeEntry(const std::string &id) const {
  FleetLink::EndpointEntry out;
  out.Endpoint = id;
  const Fleet::Endpoint *endpoint = Ctx.FleetView.endpoints().find(id);
  out.Removed = endpoint == nullptr;
  if (!endpoint)
    return out;
  const Fleet::EndpointReport &report = endpoint->Report;
  out.Draining = !endpoint->isReady();
  out.Service = report.Service;
  out.Address = report.Address;
  out.FailureDomain = report.FailureDomain;
  out.Slots = report.Slots;
  out.StartedUnixMs = report.StartedUnixMs;
  out.Sequence = report.Sequence;
  Utils::TimePoint now = Utils::BootClock::now();
  out.ColdInMs = msUntil(endpoint->ColdUntil, now);
  if (auto replica = Replicas.find(id); replica != Replicas.end())
    addModels(out, replica->second, now);
  return out;
}

namespace {

bool hasCountdown(const FleetLink::EndpointEntry &entry) {
  if (entry.ColdInMs > 0)
    return true;
  return std::any_of(
      entry.Models.begin(), entry.Models.end(), [](const auto &model) {
        return model.ReadyInMs > 0 ||
               std::any_of(model.Adapters.begin(), model.Adapters.end(),
                           [](const auto &it) { return it.ReadyInMs > 0; });
      });
}

} // namespace

/// Returns the encoded entry. It is cached unless it contains a remaining time,
/// which changes with every call.
std::string FleetHolder::encodedEntry(const std::string &id,
                                      uint64_t revision) {
  auto cached = EntryCache.find(id);
  if (cached != EntryCache.end() && cached->second.Revision == revision)
    return cached->second.Bytes;
  FleetLink::EndpointEntry entry = makeEntry(id);
  entry.Revision = revision;
  std::string bytes = FleetLink::encodeEntry(entry);
  if (hasCountdown(entry))
    EntryCache.erase(id);
  else
    EntryCache[id] = {revision, bytes};
  return bytes;
}

/// Names the newest version in force in the fleet and a gateway that has it:
/// after the store has come back from an older copy, a gateway that starts can
/// read that version nowhere else.
void FleetHolder::addConfigurationVersion(FleetLink::Heartbeat &out) const {
  Utils::TimePoint now = Utils::BootClock::now();
  for (const auto &[name, member] : Members) {
    const FleetLink::Report &report = member.LatestReport;
    if (now < member.ReceivedAt + MemberTimeout &&
        report.ConfigurationVersion > out.ConfigurationVersion) {
      out.ConfigurationVersion = report.ConfigurationVersion;
      out.ConfigurationAddress = report.Address;
    }
  }
  const auto &config = Ctx.FleetView.configuration();
  if (config && config->Version >= out.ConfigurationVersion) {
    out.ConfigurationVersion = config->Version;
    out.ConfigurationAddress.clear();
  }
}

FleetLink::Heartbeat FleetHolder::makeHeartbeat(const Member &member) {
  Utils::TimePoint now = Utils::BootClock::now();
  const FleetLink::Report &report = member.LatestReport;
  FleetLink::Heartbeat out;
  out.Holder = Ctx.Settings.VmName;
  out.Token = Token;
  out.Members = liveMemberCount();
  out.StampMs = uint64_t(
      std::chrono::floor<milliseconds>(now).time_since_epoch().count());
  out.ActsBeyondLease = !Ctx.HoldsLease() && maySendOrders();
  out.Incarnation = report.Incarnation;
  out.Sequence = report.Sequence;
  out.MaxStrength = highestStrength();
  out.Teams = Limits.allGrants(report.Member, report.Teams, now);
  StoreReadProgress read = Ctx.ReadProgress();
  out.StoreEra = read.InEra;
  addConfigurationVersion(out);
  out.OperatorsNext = read.OperatorsNext;
  out.OperatorsAgeMs = ageInMs(read.OperatorsAsOf, now);
  out.EndpointsNext = read.EndpointsNext;
  out.EndpointsAgeMs = ageInMs(read.EndpointsAsOf, now);
  TableChanges.addChanges(out, report,
                          entryLimitsPerHeartbeat(Ctx.Settings.LinkMbps),
                          [this](const std::string &id, uint64_t revision) {
                            return encodedEntry(id, revision);
                          });
  out.Loads = totalLoads();
  out.Quarantined = toLink(Crashes.quarantines(), now);
  out.WatchedParts = Crashes.partsToWatch();
  out.LimitsRevision = LimitsRevision;
  if (report.LimitsRevision != LimitsRevision)
    for (const EndpointLimit &it : LimitsOfEndpoints.statements(now))
      out.EndpointLimits.push_back(toLink(it, now));
  return out;
}

} // namespace Gateway
