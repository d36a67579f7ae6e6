#include "outageworld.h"

#include "peers/age.h"

namespace LimitsTest {

namespace {

constexpr char Duty[] = "limits";
constexpr uint32_t ClockErrorPpm = 15000;
constexpr Utils::Milliseconds Window(1000);
constexpr Utils::Milliseconds SaidFor(12'700);
constexpr uint32_t AgeUnitMs = 50;
const Lease::Policy LeasePolicy{Utils::Milliseconds(1000), ClockErrorPpm / 1e6,
                                true};

bool oneIn(std::mt19937_64 &random, uint64_t n) { return random() % n == 0; }

} // namespace

OutageWorld::OutageWorld(uint64_t rates) : Agreed{1500, ClockErrorPpm} {
  True.Allowed = {100, 120};
  True.Cap = True.Allowed.BurstTokens;
  True.Level = double(True.Cap);
  Folds.push_back(std::make_shared<History::State>());
  append(History::MemberChange{"first", History::MemberAction::Join, "other",
                               "", 0, ""});
  append(History::MemberChange{"second", History::MemberAction::Leave, "other",
                               "", 0, ""});
  for (size_t i = 0; i < Names; ++i) {
    Rates[i] = 1 + (double((rates >> (8 * i)) % 299) - 149) * 1e-4;
    Reach[i] = true;
    for (bool &it : Links[i])
      it = true;
  }
  for (size_t i = 0; i + 1 < Names; ++i)
    start(i);
}

Utils::Clock OutageWorld::clockOf(size_t i) const {
  Utils::Clock clock;
  clock.Now = [this, i] {
    return Utils::TimePoint(Nanos(int64_t(3600'000'000'000) * int64_t(i + 1) +
                                  int64_t(double(Now) * Rates[i])));
  };
  return clock;
}

History::Verdict OutageWorld::append(const History::Record &record) {
  auto next = std::make_shared<History::State>(*Folds.back());
  auto at = History::positionOf(Folds.size() - 1, 0);
  History::Verdict verdict = History::apply(*next, at, record);
  Folds.push_back(std::move(next));
  return verdict;
}

History::Lease OutageWorld::leaseOf(const Process &it) const {
  const auto &leases = stateOf(it).Leases;
  auto found = leases.find(Duty);
  return found == leases.end() ? History::Lease() : found->second;
}

void OutageWorld::pass(uint32_t ms) {
  Now += int64_t(ms) * 1'000'000;
  True.advance(Now);
}

void OutageWorld::heal() {
  IsLogUp = true;
  for (size_t i = 0; i < Names; ++i) {
    Reach[i] = true;
    for (bool &it : Links[i])
      it = true;
  }
}

void OutageWorld::pause(size_t i, uint32_t ms) {
  if (Daemons[i])
    Daemons[i]->PausedUntil = Now + int64_t(ms) * 1'000'000;
}

void OutageWorld::start(size_t i) {
  if (Daemons[i])
    return;
  std::string name = "d" + std::to_string(i);
  Daemons[i] = std::make_unique<Process>(name, clockOf(i));
  Daemons[i]->Wallets.Agreed = Agreed;
  Daemons[i]->Wallets.Daemon = name + "/" + std::to_string(++Started);
}

void OutageWorld::leave(size_t i) {
  if (!Daemons[i] && IsLogUp)
    append(History::MemberChange{"l" + std::to_string(++Ids),
                                 History::MemberAction::Leave,
                                 "d" + std::to_string(i), "", 0, ""});
}

void OutageWorld::bury(size_t by, size_t silent) {
  if (by == silent || !isUp(by) || !reaches(by) ||
      (isUp(silent) && Links[by][silent]) || !Daemons[by]->Joined)
    return;
  const Process &it = *Daemons[by];
  Lease::Burial burial{it.Name, "d" + std::to_string(silent),
                       stateOf(it).Members, stateOf(it).Leases,
                       it.Contact.contactSince()};
  if (!Lease::mayRecordGone(burial, Window, LeasePolicy, it.Clock.Now()))
    return;
  Burials += Daemons[silent] ? 1 : 0;
  append(History::MemberChange{"b" + std::to_string(++Ids),
                               History::MemberAction::Leave, burial.Silent, "",
                               0, ""});
}

bool OutageWorld::isUp(size_t i) const {
  return Daemons[i] && Now >= Daemons[i]->PausedUntil;
}

bool OutageWorld::isLogOutageAt(const Process &it) const {
  Daemon::Internal::CurrencyInput input;
  input.Now = it.Clock.Now();
  input.Window = Lease::holderWindow(Window, LeasePolicy);
  input.Held = it.Read;
  input.LogLost = it.Contact.lostSince().has_value();
  input.SeenEnd = it.Contact.seenEnd();
  input.Own = it.Contact.own(it.Read);
  input.Told = it.Contact.told(it.Read);
  std::set<std::string> expected;
  for (const auto &[name, member] : stateOf(it).Members)
    expected.insert(name);
  for (const auto &[name, applied] : it.Applied)
    expected.insert(name);
  expected.erase(it.Name);
  for (const std::string &name : expected) {
    auto said = it.Said.find(name);
    input.OutageReports.push_back(
        said == it.Said.end() ? std::nullopt : std::optional(said->second));
  }
  return Daemon::Internal::isLogOutage(input);
}

bool OutageWorld::mayContinue(size_t i) const {
  const Process &it = *Daemons[i];
  return Lease::mayContinue(it.Watch, leaseOf(it), isLogOutageAt(it),
                            it.Clock.Now());
}

bool OutageWorld::acts(size_t i) const {
  return isUp(i) && (Lease::holds(Daemons[i]->Watch, Daemons[i]->Clock.Now()) ||
                     mayContinue(i));
}

size_t OutageWorld::acting() const {
  size_t n = 0;
  for (size_t i = 0; i < Names; ++i)
    n += acts(i) ? 1 : 0;
  return n;
}

void OutageWorld::readLog(size_t i) {
  Process &it = *Daemons[i];
  if (!reaches(i))
    return it.Contact.noteFailure("outage", it.Clock.Now());
  it.Contact.noteOwn({it.Clock.Now(), Folds.size() - 1});
  it.Read = Folds.size() - 1;
  it.HasState = true;
}

void OutageWorld::readPeer(size_t i, size_t k) {
  Process &it = *Daemons[i];
  const Process &peer = *Daemons[k];
  if (!Links[i][k] || !peer.HasState || !it.Contact.lostSince())
    return;
  Utils::TimePoint asked = it.Clock.Now();
  if (auto newest = peer.Contact.report(peer.Read).Newest)
    it.Contact.noteTold({asked - Peers::slowestClock(Peers::ageOf(
                                     newest->At, peer.Clock.Now())),
                         newest->End});
  it.Read = std::max(it.Read, peer.Read);
  it.HasState = true;
}

void OutageWorld::join(size_t i, std::mt19937_64 &random) {
  Process &it = *Daemons[i];
  bool isMember = it.Joined && stateOf(it).Members.count(it.Name) != 0;
  if (!it.HasState || isMember || !reaches(i) || oneIn(random, 8))
    return;
  append(History::MemberChange{"j" + std::to_string(++Ids),
                               History::MemberAction::Join, it.Name, "", 0,
                               ""});
  it.Joined = true;
}

void OutageWorld::probe(size_t i, size_t k) {
  Process &peer = *Daemons[k];
  Told told;
  told.To = i;
  told.Receiver = Daemons[i].get();
  told.From = peer.Name;
  told.SentAt = Daemons[i]->Clock.Now();
  Utils::TimePoint now = peer.Clock.Now();
  Peers::LogReport report = peer.Contact.report(peer.Read);
  told.Applied = report.Applied;
  told.Lost = report.LostSince.has_value();
  if (told.Lost)
    peer.Said[peer.Name] = now;
  if (report.Newest)
    told.Reading.emplace(Peers::ageOf(report.Newest->At, now),
                         report.Newest->End);
  std::erase_if(peer.Said,
                [&](const auto &it) { return now - it.second > SaidFor; });
  for (const auto &[name, at] : peer.Said)
    told.OutageAges[name] =
        (Peers::ageOf(at, now) + AgeUnitMs - 1) / AgeUnitMs * AgeUnitMs;
  Wires.push_back(std::move(told));
}

void OutageWorld::hear(const Told &told) {
  Process *it = Daemons[told.To].get();
  if (!it || it != told.Receiver || !isUp(told.To))
    return;
  auto note = [&](const std::string &name, Utils::TimePoint at) {
    Utils::TimePoint &said = it->Said[name];
    said = std::max(said, at);
  };
  if (told.Reading)
    it->Contact.noteTold(
        {told.SentAt - Peers::slowestClock(told.Reading->first),
         told.Reading->second});
  if (told.Lost)
    note(told.From, told.SentAt);
  for (const auto &[name, ageMs] : told.OutageAges)
    note(name, told.SentAt - Peers::slowestClock(ageMs));
  uint64_t &applied = it->Applied[told.From];
  applied = std::max(applied, told.Applied);
}

void OutageWorld::awaitPredecessor(Process &it) {
  if (it.Watch.HeldFence == 0 || it.Watch.ActsFrom != Utils::TimePoint::max())
    return;
  Lease::Succession succession;
  succession.Self = it.Name;
  succession.Replaced = it.Replaced;
  succession.Claim = it.Watch.HeldFence;
  succession.Members = stateOf(it).Members;
  succession.ContactSince = it.Contact.contactSince();
  succession.Applied = it.Applied;
  auto from = Lease::actsFrom(succession, Window, LeasePolicy, it.Clock.Now());
  if (from)
    it.Watch.ActsFrom = *from;
}

void OutageWorld::stepLease(size_t i, std::mt19937_64 &random) {
  Process &it = *Daemons[i];
  if (!it.HasState || !it.Joined)
    return;
  Utils::TimePoint now = it.Clock.Now();
  awaitPredecessor(it);
  Lease::observe(it.Watch, leaseOf(it), now);
  for (const auto &[name, member] : stateOf(it).Members)
    it.Watch.NewestMember = std::max(it.Watch.NewestMember, member.Joined);
  it.Watch.ClaimsFrom =
      Lease::claimsFrom(it.Contact.contactSince().value_or(now), LeasePolicy);
  if (RacingClaims && oneIn(random, 2))
    it.Watch.ClaimsFrom = Utils::TimePoint();
  auto change = Lease::nextChange(it.Watch, Duty, it.Name, LeasePolicy, now);
  if (!change)
    return;
  change->ChangeId = it.Watch.PendingId = "c" + std::to_string(++Ids);
  bool unseen = oneIn(random, 12);
  if (!reaches(i) && !unseen)
    return Lease::abandon(it.Watch);
  History::Verdict verdict = append(*change);
  if (unseen || oneIn(random, 12))
    return Lease::abandon(it.Watch);
  readLog(i);
  Lease::settle(it.Watch, *change, verdict, LeasePolicy);
  if (change->Action != History::LeaseAction::Claim || !verdict.Accepted)
    return;
  it.Replaced = it.Watch.Seen;
  it.Watch.ActsFrom = Utils::TimePoint::max();
  awaitPredecessor(it);
}

void OutageWorld::stepDuty(size_t i) {
  Process &it = *Daemons[i];
  bool self = acts(i);
  uint64_t fence = self ? it.Watch.HeldFence : leaseOf(it).Fence;
  if (it.Duty && it.Duty->Fence != fence)
    it.Duty.reset();
  Utils::TimePoint now = it.Clock.Now();
  if (self && !it.Duty) {
    it.Duty = makeHolder(Agreed, fence, it.Replaced.Fence == 0, now);
    Successions += it.Replaced.Fence == 0 ? 0 : 1;
  }
  if (it.Duty)
    setLimit(*it.Duty, Team, True.Allowed, now);
}

/// Asks for all that there is. Answers arrive at once, late or never.
void OutageWorld::ask(size_t i, std::mt19937_64 &random) {
  Process &it = *Daemons[i];
  History::Lease lease = leaseOf(it);
  size_t holder = Names;
  for (size_t k = 0; k < Names; ++k)
    if (Daemons[k] &&
        (acts(k) ? Daemons[k]->Watch.HeldFence == lease.Fence : false))
      holder = k;
  if (holder == Names || (holder != i && !Links[i][holder]))
    return;
  Needs needs;
  needs[Team] = {64, 32, 16, 8, 4, 2, 1};
  auto request = makeRequest(it.Wallets, lease.Fence, needs, it.Clock.Now());
  Process &keeper = *Daemons[holder];
  if (!keeper.Duty || keeper.Duty->Fence != keeper.Watch.HeldFence)
    return abandon(it.Wallets);
  GrantReply reply = grant(*keeper.Duty, request, keeper.Clock.Now());
  if (oneIn(random, 6))
    return abandon(it.Wallets);
  accept(it.Wallets, reply);
}

void OutageWorld::drain(size_t i) {
  Process &it = *Daemons[i];
  auto wallet = it.Wallets.Teams.find(Team);
  if (wallet == it.Wallets.Teams.end() || wallet->second.free() == 0)
    return;
  uint64_t n = wallet->second.free();
  auto held = reserve(it.Wallets, Team, n, it.Clock.Now());
  if (!held || !deliver(it.Wallets, *held, n, it.Clock.Now()))
    return;
  True.Level -= double(n);
  Delivered += n;
}

void OutageWorld::round(uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<Told> arriving = std::exchange(Wires, {});
  for (Told &it : arriving) {
    if (oneIn(random, 6))
      Wires.push_back(std::move(it));
    else
      hear(it);
  }
  size_t order[Names] = {0, 1, 2, 3};
  std::shuffle(std::begin(order), std::end(order), random);
  for (size_t i : order) {
    if (!isUp(i))
      continue;
    if (!oneIn(random, 4))
      readLog(i);
    for (size_t k : order)
      if (i != k && isUp(k) && Links[i][k]) {
        readPeer(i, k);
        if (!oneIn(random, 4))
          probe(i, k);
      }
    if (!Daemons[i]->HasState)
      continue;
    join(i, random);
    stepLease(i, random);
    stepDuty(i);
    HasContinued =
        HasContinued ||
        (acts(i) && !Lease::holds(Daemons[i]->Watch, Daemons[i]->Clock.Now()));
    if (!oneIn(random, 3))
      ask(i, random);
    if (oneIn(random, 2))
      drain(i);
  }
}

} // namespace LimitsTest
