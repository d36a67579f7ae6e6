#include "gateway/fleetholder.h"

#include "gateway/gatewayconstants.h"
#include "utils/utils.h"

#include <algorithm>

namespace Gateway {

namespace {

/// A gateway that was not heard of for so long counts no more.
constexpr milliseconds MemberLifetime{2000};
/// How long a gateway that is silent counts among those that may have taken
/// over.
constexpr milliseconds MemberMemory{10000};
/// A gateway reaches the store if it was answered so lately: two reads of the
/// endpoints.
constexpr milliseconds StoreSilence{1500};
/// After a new holder's start, what gateways have admitted before is in the
/// levels that it took over.
constexpr milliseconds TakeOver{1500};

/// Entries of one datagram: about 150 bytes each, and 60 of them with long
/// lists of adapters stay below its limit.
constexpr size_t EntriesPerBeat = 100;

uint32_t msUntil(Utils::TimePoint at, Utils::TimePoint now) {
  if (at <= now)
    return 0;
  constexpr int64_t never = 3600'000;
  return uint32_t(std::min(never, Utils::msBetween(now, at) + 1));
}

} // namespace

FleetHolder::FleetHolder(Context context, int64_t token,
                         const std::map<std::string, double> &levels)
    : It(std::move(context)), Token(token), StartedAt(Utils::BootClock::now()),
      PlanTimer(It.Loop) {
  RunnerContext = makeRunnerContext();
  onConfiguration();
  for (const auto &[team, level] : levels)
    if (auto it = Buckets.find(team); it != Buckets.end())
      it->second.Level.setLevel(level, StartedAt);
  for (const auto &[id, endpoint] : It.Known.endpoints().all())
    onEndpoint(id);
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
  for (const Fleet::Team &team : config->Teams) {
    Quota::Limit limit{team.RatePerSecond, team.Burst};
    auto added = Buckets.try_emplace(team.Name, TeamBucket{{limit, now}, 0});
    added.first->second.Level.setLimit(limit, now);
  }
  tellAll();
}

// Gateways.

void FleetHolder::take(const FleetLink::Report &report) {
  Utils::TimePoint now = Utils::BootClock::now();
  Member &member = Members[report.Member];
  bool sameProcess = member.Newest.Incarnation == report.Incarnation;
  if (sameProcess && report.Sequence <= member.Newest.Sequence)
    return;
  countTokens(member, report);
  for (const FleetLink::ModelCalls &it : report.Calls)
    noteUse(it, now);
  member.Newest = report;
  member.HeardAt = now;
  for (const FleetLink::Misplaced &it : report.Bounces)
    if (auto place = Places.find(it.Endpoint); place != Places.end())
      runner(it.Endpoint)->askReport();
  bool wants = !report.Waiting.empty();
  if (wants)
    planNow();
  answer(member);
}

void FleetHolder::noteUse(const FleetLink::ModelCalls &use,
                          Utils::TimePoint now) {
  if (use.Adapter.empty())
    return Demand.note({use.Service, use.Model}, use.Calls, now);
  for (auto &[id, place] : Places)
    if (auto *model =
            place.Service == use.Service ? place.find(use.Model) : nullptr)
      if (auto *adapter = model->findAdapter(use.Adapter))
        adapter->LastUsed = now;
}

void FleetHolder::countTokens(const Member &before,
                              const FleetLink::Report &report) {
  Utils::TimePoint now = Utils::BootClock::now();
  bool known = before.Newest.Incarnation == report.Incarnation;
  // What a gateway admitted before this holder heard of it for the first time
  // is in the levels that the holder took over.
  if (!known && now < StartedAt + TakeOver)
    return;
  for (const FleetLink::TeamUse &it : report.Teams) {
    auto bucket = Buckets.find(it.Team);
    if (bucket == Buckets.end())
      continue;
    int64_t counted = 0;
    if (known)
      for (const FleetLink::TeamUse &old : before.Newest.Teams)
        if (old.Team == it.Team)
          counted = old.Tokens;
    bucket->second.Level.take(double(it.Tokens - counted), now);
    bucket->second.Fleet += it.Tokens - counted;
  }
}

bool FleetHolder::mayAct() const { return It.Leased() || storeIsAway(); }

/// Whether no gateway can have taken over: most of them still report here, and
/// none of these reaches the store. Engines refuse orders with a lower token
/// all the same.
bool FleetHolder::storeIsAway() const {
  Utils::TimePoint now = Utils::BootClock::now();
  uint32_t known = 0;
  uint32_t cutOff = 0;
  for (const auto &[name, member] : Members) {
    if (now > member.HeardAt + MemberMemory || member.Newest.Leaving)
      continue;
    ++known;
    bool silent = member.Newest.StoreSilentMs >= StoreSilence.count();
    bool heard = now < member.HeardAt + WaitingLifetime;
    if (heard && !silent)
      return false;
    cutOff += heard && silent;
  }
  return 2 * cutOff > known;
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

std::vector<FleetLink::EndpointCalls> FleetHolder::fleetLoads() const {
  std::map<std::string, uint32_t> sums;
  Utils::TimePoint now = Utils::BootClock::now();
  for (const auto &[name, member] : Members)
    if (now < member.HeardAt + MemberLifetime)
      for (const FleetLink::EndpointCalls &it : member.Newest.Loads)
        sums[it.Endpoint] += it.Calls;
  std::vector<FleetLink::EndpointCalls> out;
  out.reserve(sums.size());
  for (const auto &[id, n] : sums)
    out.push_back({id, n});
  return out;
}

void FleetHolder::answer(const Member &member) {
  It.Send(member.Newest.Address, makeBeat(member));
}

void FleetHolder::tellWaiting() {
  Utils::TimePoint now = Utils::BootClock::now();
  for (const auto &[name, member] : Members)
    if (!member.Newest.Waiting.empty() &&
        now < member.HeardAt + WaitingLifetime)
      answer(member);
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
  out.Draining = report.State == Fleet::EndpointState::Draining;
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

/// Adds the oldest changes that the gateway has not seen, as many as one
/// datagram holds; the others follow with the next beat.
void FleetHolder::addEntries(FleetLink::Beat &beat, uint64_t seen) const {
  std::vector<std::pair<uint64_t, const std::string *>> due;
  for (const auto &[id, revision] : Revisions)
    if (revision > seen)
      due.emplace_back(revision, &id);
  std::sort(due.begin(), due.end());
  beat.TableRevision = Revision;
  beat.Whole = seen == 0 && due.size() <= EntriesPerBeat;
  for (const auto &[revision, id] : due) {
    if (beat.Entries.size() == EntriesPerBeat)
      return;
    beat.Entries.push_back(entryOf(*id));
    if (due.size() > EntriesPerBeat)
      beat.TableRevision = revision;
  }
}

FleetLink::Beat FleetHolder::makeBeat(const Member &member) {
  Utils::TimePoint now = Utils::BootClock::now();
  const FleetLink::Report &report = member.Newest;
  FleetLink::Beat out;
  out.Holder = It.Settings.VmName;
  out.Token = Token;
  out.Members = liveMembers();
  out.Incarnation = report.Incarnation;
  out.Sequence = report.Sequence;
  for (const FleetLink::TeamUse &it : report.Teams)
    if (auto bucket = Buckets.find(it.Team); bucket != Buckets.end())
      out.Teams.push_back({it.Team, int64_t(bucket->second.Level.level(now)),
                           bucket->second.Fleet, it.Tokens});
  ReadFacts read = It.HasRead();
  out.OperatorsNext = read.OperatorsNext;
  out.OperatorsAgeMs = ageOf(read.OperatorsAsOf, now);
  out.EndpointsAgeMs = ageOf(read.EndpointsAsOf, now);
  addEntries(out, report.Token == Token ? report.TableRevision : 0);
  out.Loads = fleetLoads();
  return out;
}

} // namespace Gateway
