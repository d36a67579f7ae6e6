#include "daemon/peerduty.h"
#include "daemon/limitsburial.h"
#include "daemon/logreaders.h"
#include "daemon/readcandidates.h"

#include <algorithm>

namespace Daemon::Internal {

namespace {

constexpr Utils::Milliseconds DutyPeriod(250);
constexpr Utils::Milliseconds AppendTimeout(2000);
constexpr Utils::Milliseconds ExchangeTimeout(1000);
constexpr Utils::Milliseconds ExchangePeriod(30'000);
constexpr Utils::Milliseconds BuryAfter(30'000);
constexpr uint32_t RetryAfterMs = 1000;

using Roster = std::map<std::string, Peers::Address>;

Roster rosterOf(const Context &context) {
  return context.Store.read([](const History::State &state) {
    Roster roster;
    for (const auto &[name, it] : state.Members)
      roster[name] = {it.Address, it.PeerPort};
    return roster;
  });
}

bool isListedMember(const Context &context) {
  return context.Store.read([&](const History::State &state) {
    return state.Members.count(context.Settings.Name) != 0;
  });
}

uint64_t heldOf(const Context &context) {
  return context.Store.read(
      [](const History::State &state) { return state.NextOffset; });
}

Peers::NodeOptions nodeOptions(Context &context) {
  Peers::NodeOptions options;
  options.Name = context.Settings.Name;
  options.FailureDomain = context.Settings.FailureDomain;
  options.Listen = {context.Settings.ListenAddress, context.Settings.PeerPort};
  options.Advertise = {context.Settings.Advertise.Host,
                       context.Settings.Advertise.Port};
  options.ClusterSecret = context.Settings.ClusterSecret;
  for (const Settings::HostPort &it : context.Settings.Seeds)
    options.Seeds.push_back({it.Host, it.Port});
  options.Roster = [&context] { return rosterOf(context); };
  options.Report = [&context](Utils::TimePoint) {
    return context.Contact->report(heldOf(context));
  };
  options.OnReading = [&context](const Peers::LogReading &reading) {
    context.Contact->noteTold(reading);
  };
  return options;
}

using OutageReports = std::map<std::string, std::optional<Utils::TimePoint>>;

/// Statements are taken first: what their senders had read is then surely
/// compared. A member that gossip does not list has said nothing. `look` sees
/// the state that is decided on.
CurrencyInput
currencyInputOf(Context &context, Utils::Milliseconds window,
                const std::function<void(const History::State &)> &look) {
  CurrencyInput input;
  input.Window = window;
  input.LogLost = context.Contact->witnessedLossSince().has_value();
  OutageReports said =
      input.LogLost ? context.Node->outageReports() : OutageReports();
  input.Held = context.Store.read([&](const History::State &state) {
    if (input.LogLost)
      for (const auto &[name, member] : state.Members)
        said.try_emplace(name);
    look(state);
    return state.NextOffset;
  });
  said.erase(context.Settings.Name);
  for (const auto &[name, at] : said)
    input.OutageReports.push_back(at);
  input.SeenEnd = context.Contact->seenEnd();
  input.Own = context.Contact->own(input.Held);
  input.Told = context.Contact->told(input.Held);
  input.Now = context.Clock.Now();
  return input;
}

} // namespace

void connectPeers(Context &context) {
  context.Contact = std::make_unique<LogContact>(context.Clock);
  context.Node = std::make_unique<Peers::Node>(nodeOptions(context),
                                               context.Metrics, context.Clock);
  context.Rpc = context.Node->rpc();
  PeerLogSources sources;
  sources.Log = context.Log;
  sources.Rpc = context.Rpc;
  sources.Candidates = [&context, random = std::mt19937_64(Utils::fastHash(
                                      Utils::randomId()))]() mutable {
    return readCandidates(context.Node->members(), heldOf(context), random);
  };
  sources.Feeder = [&context] {
    return feederOf(context.Settings.Name, context.Settings.FailureDomain,
                    context.Node->members());
  };
  context.PeerReads = std::make_unique<PeerLog>(
      std::move(sources), context.Store, *context.Contact, context.Clock);
  context.PeerReads->serve();
}

Currency currencyOf(Context &context) {
  return decideCurrency(
      currencyInputOf(context, Utils::Milliseconds(context.Settings.CurrencyMs),
                      [](const History::State &) {}));
}

std::optional<History::Lease> leaseDuringOutage(Context &context,
                                                const std::string &duty,
                                                Utils::Milliseconds window) {
  History::Lease lease;
  CurrencyInput input =
      currencyInputOf(context, window, [&](const History::State &state) {
        auto it = state.Leases.find(duty);
        if (it != state.Leases.end())
          lease = it->second;
      });
  if (!isLogOutage(input))
    return std::nullopt;
  return lease;
}

std::optional<FrontDoor::Refusal> refuseUnlessCurrent(Context &context) {
  if (currencyOf(context) != Currency::NotCurrent)
    return std::nullopt;
  return FrontDoor::Refusal{FrontDoor::Reason::HistoryUnavailable,
                            FrontDoor::RunState::NotRun, RetryAfterMs,
                            "this daemon cannot know of withdrawn keys now"};
}

PeerDuty::PeerDuty(Context &context) : Shared(context) {}

PeerDuty::~PeerDuty() { stop(); }

void PeerDuty::start() {
  JoinAgainAt = Shared.Clock.Now() + AppendTimeout;
  Awake.start(DutyPeriod, [this] { Shared.Contact->noteAwake(); });
  Rounds.start(DutyPeriod, [this] { round(); });
}

void PeerDuty::stop() {
  Awake.stop();
  bool isMember = isListedMember(Shared);
  if (Rounds.stop() && isMember)
    append({Utils::randomId(), History::MemberAction::Leave,
            Shared.Settings.Name, "", 0, ""});
}

void PeerDuty::round() {
  join();
  exchange();
  buryLost();
}

bool PeerDuty::append(History::MemberChange change) {
  auto verdict = Shared.Appender->submitAndWait(change, Shared.Clock.Now() +
                                                            AppendTimeout);
  return verdict && verdict->Accepted;
}

void PeerDuty::join() {
  if (!Shared.Follower->caughtUp() || Shared.Contact->lostSince())
    return;
  const Settings::DaemonSettings &s = Shared.Settings;
  bool isListed = isListedMember(Shared);
  // The join recorded at the start is not repeated: a later one makes the
  // daemon younger than the holders that know it.
  if (!Joined)
    Joined = Shared.Store.read([this](const History::State &state) {
      return state.Verdicts.count(Shared.JoinId) != 0;
    });
  if (Joined)
    Shared.IsMember = true;
  if (Joined ? isListed : Shared.Clock.Now() < JoinAgainAt)
    return;
  Peers::Address where = Shared.Node->where();
  Joined = append({Utils::randomId(), History::MemberAction::Join, s.Name,
                   where.Host, where.Port, s.FailureDomain});
  if (Joined)
    Shared.IsMember = true;
}

void PeerDuty::exchange() {
  Utils::TimePoint now = Shared.Clock.Now();
  if (now >= NextExchange &&
      Shared.Node->exchangeMembers(now + ExchangeTimeout))
    NextExchange = now + ExchangePeriod;
}

bool PeerDuty::isEldest() const {
  std::vector<std::string> names = Shared.Rpc.Members();
  return std::all_of(names.begin(), names.end(), [this](const auto &it) {
    return Shared.Settings.Name < it;
  });
}

std::vector<std::pair<std::string, History::Position>>
PeerDuty::silentMembers() const {
  std::vector<std::string> speaking = Shared.Rpc.Members();
  speaking.push_back(Shared.Settings.Name);
  std::sort(speaking.begin(), speaking.end());
  return Shared.Store.read([&](const History::State &state) {
    std::vector<std::pair<std::string, History::Position>> silent;
    for (const auto &[name, it] : state.Members)
      if (!std::binary_search(speaking.begin(), speaking.end(), name))
        silent.emplace_back(name, it.Joined);
    return silent;
  });
}

void PeerDuty::buryLost() {
  auto silent = silentMembers();
  Utils::TimePoint now = Shared.Clock.Now();
  std::map<std::string, Utils::TimePoint> since;
  for (const auto &[name, joined] : silent) {
    auto known = SilentSince.find(name);
    since[name] = known == SilentSince.end() ? now : known->second;
  }
  SilentSince = std::move(since);
  if (Shared.Contact->lostSince() || !isEldest())
    return;
  for (const auto &[name, joined] : silent) {
    if (now - SilentSince[name] < BuryAfter || !mayRecordGone(Shared, name))
      continue;
    std::string id = "leave-" + name + "-" + std::to_string(joined);
    append({id, History::MemberAction::Leave, name, "", 0, ""});
  }
}

} // namespace Daemon::Internal
