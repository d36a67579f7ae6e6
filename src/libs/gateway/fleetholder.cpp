#include "gateway/fleetholder.h"

#include "gateway/gatewayconstants.h"
#include "utils/utils.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Gateway {

namespace {

/// A gateway that was not heard of for so long counts no more.
constexpr milliseconds MemberLifetime{2000};
/// Part of the operators' slack on limits by which grants may overdraw a
/// bucket; the rest is for what gateways admit while no holder answers, and
/// for what died with them.
constexpr double DebtPartOfSlack = 0.2;

/// Time in which the gateways tell a new holder what is called.
constexpr milliseconds DemandSettle{600};
/// Age that an engine's report may have. What a former holder ordered until it
/// gave the duty up shows in reports that are read so much later.
constexpr milliseconds ReportLag{400};
/// Pause before a plan for calls that wait, in which more may come.
constexpr milliseconds UrgentPlanPause{2};
/// How long a sum of the gateways' loads is used; reports are older.
constexpr milliseconds LoadsAge{100};
/// Pause before gateways are told of a change, in which more may come.
constexpr milliseconds TellPause{3};

/// Part of the VM's link that entries of endpoints may take while many gateways
/// begin anew, and the beats of a second in a large fleet.
constexpr double LinkPartOfEntries = 0.25;
constexpr double BeatsPerSecond = 500;
/// Least and most room for entries in one beat; the most leaves place for the
/// rest of a datagram.
constexpr double LeastEntryBytes = 1000;
constexpr double MostEntryBytes = 44'000;
constexpr size_t MostEntries = 500;

/// Beats that may be told in a second for changes between reports. By plays of
/// 195 gateways under 90 orders a second: at this rate asks for tokens are
/// answered in time, told at once (65,000 for changes of all) they are not.
constexpr int64_t MostTellsPerSecond = 2000;

TableBook::HeartbeatLimits roomPerBeat(double linkMbps) {
  constexpr double bytesPerMbit = 125'000;
  double bytes = linkMbps * bytesPerMbit * LinkPartOfEntries / BeatsPerSecond;
  return {MostEntries,
          size_t(std::clamp(bytes, LeastEntryBytes, MostEntryBytes))};
}

std::optional<std::map<uint32_t, double>>
notedLevels(const std::string &notes) {
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

uint32_t msUntil(Utils::TimePoint at, Utils::TimePoint now) {
  if (at <= now)
    return 0;
  constexpr int64_t never = 3600'000;
  return uint32_t(std::min(never, Utils::msBetween(now, at) + 1));
}

} // namespace

Utils::Milliseconds tellPause(uint32_t gateways) {
  constexpr int64_t msPerSecond = 1000;
  return std::max(TellPause,
                  milliseconds(gateways * msPerSecond / MostTellsPerSecond));
}

FleetHolder::FleetHolder(Context context, int64_t token,
                         const TakeoverState &inherited)
    : It(std::move(context)), Token(token), StartedAt(Utils::BootClock::now()),
      NextReportAt(token == 1 ? StartedAt : StartedAt + ReportLag),
      Limits({inherited.Levels, notedLevels(It.NotesBefore),
              token == 1 && It.Settings.FirstStart, It.MembersBefore,
              It.Settings.LimitSlack * DebtPartOfSlack},
             StartedAt),
      Book(token, inherited.Table), PlanTimer(It.Loop), TellTimer(It.Loop),
      TellAllTimer(It.Loop) {
  RunnerContext = makeRunnerContext();
  onConfiguration();
  for (const auto &[id, endpoint] : It.Known.endpoints().all())
    onEndpoint(id);
  Book.adoptRevisions(inherited.Table);
  if (uint64_t next = It.HasRead().EndpointsNext; next > 0)
    onListed(next);
  bool isFirst = token == 1;
  if (!isFirst || !It.Settings.FirstStart)
    NoPlanBefore = StartedAt + DemandSettle;
}

FleetHolder::~FleetHolder() {
  for (auto &[id, runner] : Runners)
    runner->stop();
}

void FleetHolder::tellAll() {
  Utils::TimePoint now = Utils::BootClock::now();
  for (const auto &[name, member] : Members)
    if (now < member.HeardAt + MemberLifetime)
      answer(member);
}

void FleetHolder::onConfiguration() {
  Utils::TimePoint now = Utils::BootClock::now();
  const auto &config = It.Known.configuration();
  if (!config)
    return;
  Limits.setLimits(*config, now);
  tellAll();
}

// Gateways.

void FleetHolder::take(const FleetLink::Report &report) {
  Utils::TimePoint now = Utils::BootClock::now();
  Member &member = Members[report.Member];
  bool sameProcess = member.Newest.Incarnation == report.Incarnation;
  if (sameProcess && report.Sequence <= member.Newest.Sequence)
    return;
  Limits.noteHeard(report.Member, report.Leaving, now);
  Limits.lowerTo(report.Levels, now);
  Limits.settle(report.Member, report.Incarnation, report.Sequence,
                report.Teams, now);
  for (const FleetLink::ModelCalls &it : report.Calls)
    noteUse(it, now);
  member.Newest = report;
  member.HeardAt = now;
  if (report.Token == Token && report.HeartbeatStampMs > 0)
    member.SaidAt = Utils::TimePoint(milliseconds(
        int64_t(report.HeartbeatStampMs) + int64_t(report.HeartbeatAgeMs)));
  for (const FleetLink::ModelMiss &it : report.ModelMisses)
    if (Places.count(it.Endpoint) > 0) {
      changed(it.Endpoint, true);
      runner(it.Endpoint)->askReport();
    }
  for (const FleetLink::LeavingEndpoint &it : report.LeavingEndpoints)
    It.NoteLeaving(it.Endpoint, it.StartedUnixMs);
  for (const std::string &id : report.UnconfirmedEndpoints)
    changed(id, true);
  if (!report.Waiting.empty())
    planAfter(UrgentPlanPause);
  answer(member);
}

void FleetHolder::noteUse(const FleetLink::ModelCalls &use,
                          Utils::TimePoint now) {
  Demand.note({use.Service, use.Model}, use.Calls, now);
  if (use.Adapter.empty())
    return;
  for (auto &[id, place] : Places)
    if (auto *model =
            place.Service == use.Service ? place.find(use.Model) : nullptr)
      if (auto *adapter = model->findAdapter(use.Adapter))
        adapter->LastUsed = now;
}

FleetLink::Grant FleetHolder::take(const FleetLink::GrantRequest &ask) {
  Utils::TimePoint now = Utils::BootClock::now();
  Limits.lowerTo(ask.Levels, now);
  Limits.settle(ask.Member, ask.Incarnation, ask.Sequence, ask.Teams, now);
  return {Token, ask.Incarnation, ask.Sequence,
          Limits.totals(ask.Member, &ask.Teams, now)};
}

std::string FleetHolder::notes() {
  return FleetLink::encodeLevels(Limits.notes(Utils::BootClock::now()));
}

uint8_t FleetHolder::strongest() const {
  Utils::TimePoint now = Utils::BootClock::now();
  uint8_t most = 0;
  for (const auto &[name, member] : Members)
    if (now < member.HeardAt + MemberLifetime && !member.Newest.Leaving)
      most = std::max(most, member.Newest.Strength);
  return most;
}

bool FleetHolder::mayAct() const {
  return It.MayOrder(!It.Leased() && storeIsAway());
}

bool FleetHolder::storeIsAway() const {
  std::vector<Duty::Witness> fleet;
  fleet.reserve(Members.size());
  for (const auto &[name, member] : Members)
    fleet.push_back(
        {member.SaidAt, member.Newest.StoreCallFailed, member.Newest.Leaving});
  auto fencing = It.Settings.EnginesCheckTokens ? Duty::Fencing::Checked
                                                : Duty::Fencing::Ignored;
  return Duty::isStoreAwayForAll(fleet, It.MembersBefore, fencing,
                                 Duty::Policy{}, Utils::BootClock::now());
}

void FleetHolder::announce(const std::string &address) {
  Member nobody;
  nobody.Newest.Address = address;
  answer(nobody);
}

uint32_t FleetHolder::liveMembers() const {
  Utils::TimePoint now = Utils::BootClock::now();
  return uint32_t(
      std::count_if(Members.begin(), Members.end(), [&](const auto &it) {
        return !it.second.Newest.Leaving &&
               now < it.second.HeardAt + MemberLifetime;
      }));
}

/// Adds up the loads that the gateways report, at most every LoadsAge.
const std::vector<FleetLink::EndpointCalls> &FleetHolder::fleetLoads() {
  Utils::TimePoint now = Utils::BootClock::now();
  if (now < LoadsAt + LoadsAge)
    return Loads;
  LoadsAt = now;
  std::map<uint32_t, uint32_t> sums;
  for (const auto &[name, member] : Members)
    if (now < member.HeardAt + MemberLifetime)
      for (const FleetLink::EndpointCalls &it : member.Newest.Loads)
        sums[it.Endpoint] += it.Calls;
  Loads.clear();
  for (const auto &[key, n] : sums)
    Loads.push_back({key, uint16_t(std::min(n, 65535U))});
  return Loads;
}

void FleetHolder::answer(const Member &member) {
  It.Send(member.Newest.Address, makeBeat(member));
}

/// Tells the gateways whose calls wait, a little later.
void FleetHolder::tellWaiting() {
  if (std::exchange(TellDue, true))
    return;
  auto now = Utils::BootClock::now();
  auto waiting = std::count_if(Members.begin(), Members.end(), [&](auto &it) {
    return isWaiting(it.second, now);
  });
  TellTimer.expires_after(tellPause(uint32_t(waiting)));
  TellTimer.async_wait([this](const std::error_code &ec) {
    if (ec)
      return;
    TellDue = false;
    for (const auto &[name, member] : Members)
      if (isWaiting(member, Utils::BootClock::now()))
        answer(member);
  });
}

/// Whether calls wait at a gateway, by its newest report.
bool FleetHolder::isWaiting(const Member &member, Utils::TimePoint now) {
  return !member.Newest.Waiting.empty() &&
         now < member.HeardAt + WaitingLifetime;
}

/// Longest time until all gateways are told of a change.
Utils::Milliseconds FleetHolder::tellAllPause() const {
  return tellPause(liveMembers());
}

void FleetHolder::tellAllSoon() {
  if (std::exchange(TellAllDue, true))
    return;
  TellAllTimer.expires_after(tellAllPause());
  TellAllTimer.async_wait([this](const std::error_code &ec) {
    if (ec)
      return;
    TellAllDue = false;
    tellAll();
  });
}

namespace {

void addModels(FleetLink::EndpointEntry &entry, const Residency::Place &place,
               Utils::TimePoint now) {
  for (const Residency::HeldModel &model : place.Models) {
    if (model.isLeaving())
      continue;
    FleetLink::ModelEntry out{model.Name, msUntil(model.ReadyAt, now), {}};
    for (const Residency::HeldAdapter &it : model.Adapters)
      if (it.ReadyAt != Residency::Leaving)
        out.Adapters.push_back({it.Name, msUntil(it.ReadyAt, now)});
    entry.Models.push_back(std::move(out));
  }
}

uint32_t ageOf(Utils::TimePoint at, Utils::TimePoint now) {
  constexpr int64_t ages = 3600'000;
  return uint32_t(std::clamp<int64_t>(Utils::msBetween(at, now), 0, ages));
}

} // namespace

FleetLink::EndpointEntry FleetHolder::entryOf(const std::string &id) const {
  FleetLink::EndpointEntry out;
  out.Endpoint = id;
  const Fleet::Endpoint *endpoint = It.Known.endpoints().find(id);
  out.Gone = endpoint == nullptr;
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
  if (auto place = Places.find(id); place != Places.end())
    addModels(out, place->second, Utils::BootClock::now());
  return out;
}

namespace {

bool isTimed(const FleetLink::EndpointEntry &entry) {
  return std::any_of(
      entry.Models.begin(), entry.Models.end(), [](const auto &model) {
        return model.ReadyInMs > 0 ||
               std::any_of(model.Adapters.begin(), model.Adapters.end(),
                           [](const auto &it) { return it.ReadyInMs > 0; });
      });
}

} // namespace

/// The entry as it is sent, kept unless it counts down to a time.
std::string FleetHolder::sealedEntryOf(const std::string &id,
                                       uint64_t revision) {
  auto kept = Sealed.find(id);
  if (kept != Sealed.end() && kept->second.Revision == revision)
    return kept->second.Bytes;
  FleetLink::EndpointEntry entry = entryOf(id);
  entry.Revision = revision;
  std::string bytes = FleetLink::encodeEntry(entry);
  if (isTimed(entry))
    Sealed.erase(id);
  else
    Sealed[id] = {revision, bytes};
  return bytes;
}

FleetLink::Heartbeat FleetHolder::makeBeat(const Member &member) {
  Utils::TimePoint now = Utils::BootClock::now();
  const FleetLink::Report &report = member.Newest;
  FleetLink::Heartbeat out;
  out.Holder = It.Settings.VmName;
  out.Token = Token;
  out.Members = liveMembers();
  out.StampMs = uint64_t(
      std::chrono::floor<milliseconds>(now).time_since_epoch().count());
  out.ActsBeyondLease = !It.Leased() && mayAct();
  out.Incarnation = report.Incarnation;
  out.Sequence = report.Sequence;
  out.MaxStrength = strongest();
  out.Teams = Limits.totals(report.Member, nullptr, now);
  ReadFacts read = It.HasRead();
  out.OperatorsNext = read.OperatorsNext;
  out.OperatorsAgeMs = ageOf(read.OperatorsAsOf, now);
  out.EndpointsAgeMs = ageOf(read.EndpointsAsOf, now);
  Book.addChanges(out, report, roomPerBeat(It.Settings.LinkMbps),
                  [this](const std::string &id, uint64_t revision) {
                    return sealedEntryOf(id, revision);
                  });
  out.Loads = fleetLoads();
  return out;
}

} // namespace Gateway
