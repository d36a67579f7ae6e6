#include "gateway/fleetlimiter.h"
#include "gateway/fleetmember.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <random>
#include <utility>

using namespace std::chrono_literals;
using Gateway::EndpointLimits;
using Utils::TimePoint;

namespace {

constexpr uint32_t Endpoint = 7;

/// Most calls that a cold endpoint may get in a second: a limit of 20 a second,
/// 1.5 times that and 5 calls.
constexpr size_t MaxColdCalls = 35;

/// Gateways and their holder in logical time, before one endpoint with a limit.
/// Messages arrive at once, or are lost.
class LimitFleet {
public:
  LimitFleet(size_t gateways, double rate, uint64_t seed)
      : Random(seed), Rate(rate) {
    for (size_t i = 0; i < gateways; ++i)
      Members.emplace_back("g" + std::to_string(i), "a", i + 1, true);
    NextReportAt.resize(gateways);
    electHolder({});
  }

  /// A new holder starts from what the last one told gateway 0.
  void electHolder(const std::map<std::string, double> &levels) {
    ++Token;
    Revision = uint64_t(Token) << 32;
    Holder.emplace(
        Gateway::FleetLimiter::InitialState{levels, std::nullopt, false,
                                            uint32_t(Members.size()), 20'000.0},
        Now);
    Statements = {};
    HolderKnowsCold = false;
    KnowColdAt.resize(Members.size() + 1, TimePoint::max());
    learnCold();
  }
  void changeHolder() { electHolder(Members[0].takeoverState({}, Now).Levels); }

  /// The endpoint names its limit in an answer to that gateway.
  void nameLimit(size_t gateway) {
    Members[gateway].noteEndpointLimit("e", Rate, Now);
  }

  /// The endpoint is cold from now on. Each gateway and the holder learn of it
  /// within the time; what a gateway sends before that does not count.
  void becomeCold(Utils::Milliseconds coldTime, Utils::Milliseconds spread) {
    ColdUntil = Now + coldTime;
    for (TimePoint &it : KnowColdAt)
      it = Now + Utils::Milliseconds(Random() % uint64_t(spread.count()));
    HolderKnowsCold = false;
  }

  void run(Utils::Milliseconds time, double callsPerSecond) {
    for (auto end = Now + time; Now < end;) {
      Now += 5ms;
      learnCold();
      for (size_t i = 0; i < Members.size(); ++i)
        step(i);
      for (Due += callsPerSecond * 0.005; Due >= 1; Due -= 1)
        call(size_t(Random() % Members.size()));
    }
  }

  size_t mostIn(Utils::Milliseconds window) const {
    size_t most = 0;
    for (auto it = Sent.begin(); it != Sent.end(); ++it)
      most = std::max(
          most, size_t(std::lower_bound(it, Sent.end(), *it + window) - it));
    return most;
  }

  std::deque<Gateway::FleetMember> Members;
  std::vector<TimePoint> Sent;
  int LossPercent = 0;
  bool HolderDown = false;
  /// What the holder grants by, as far as the endpoint is known to it.
  Quota::Limit ColdLimit = Quota::coldLimit(20, MaxColdCalls);
  TimePoint Now = TimePoint{} + 1h;

private:
  bool isLost() { return HolderDown || int(Random() % 100) < LossPercent; }
  void learnCold() {
    for (uint32_t endpoint : Statements.takeWarmed(Now))
      Holder->setEndpointLimit(endpoint, Statements.grantLimitOf(endpoint, Now),
                               Now);
    for (size_t i = 0; i < Members.size(); ++i)
      if (KnowColdAt[i] <= Now && !Members[i].isCold("e", Now))
        Members[i].noteCold("e", ColdLimit, ColdUntil, Now);
    if (KnowColdAt.back() > Now || std::exchange(HolderKnowsCold, true))
      return;
    uint32_t key = FleetLink::hashName("e");
    Statements.setCold(key, ColdLimit, ColdUntil, Now);
    Holder->setEndpointLimit(key, Statements.grantLimitOf(key, Now), Now);
  }
  std::string limitName() const {
    return FleetLink::endpointLimitName(FleetLink::hashName("e"));
  }

  void step(size_t i) {
    decide(i, Members[i].expireAcquires(Now));
    if (Members[i].hasPendingAcquires() && Now.time_since_epoch() % 40ms == 0ms)
      request(i);
    if (Now < NextReportAt[i])
      return;
    NextReportAt[i] = Now + std::clamp<Utils::Milliseconds>(
                                2ms * Members.size(), 250ms, 700ms);
    auto report = Members[i].makeReport({}, {}, Token, Now);
    if (isLost())
      return;
    Holder->recordHeartbeat(report.Member, false, Now);
    for (const FleetLink::EndpointLimit &it : report.EndpointLimits)
      if (Statements.merge(Gateway::fromLink(it, Now))) {
        ++Revision;
        Holder->setEndpointLimit(
            it.Endpoint, Statements.grantLimitOf(it.Endpoint, Now), Now);
      }
    Holder->applyUsage(report.Member, report.Incarnation, report.Sequence,
                       report.Teams, Now);
    FleetLink::Heartbeat heartbeat;
    heartbeat.Token = Token;
    heartbeat.Incarnation = report.Incarnation;
    heartbeat.Sequence = report.Sequence;
    heartbeat.Members = uint32_t(Members.size());
    heartbeat.Teams = Holder->allGrants(report.Member, report.Teams, Now);
    heartbeat.LimitsRevision = Revision;
    if (report.LimitsRevision != Revision)
      for (const Gateway::EndpointLimit &it : Statements.statements(Now))
        heartbeat.EndpointLimits.push_back(Gateway::toLink(it, Now));
    if (isLost())
      return;
    Members[i].apply(heartbeat, {}, Now);
    decide(i, Members[i].takeDecisions());
  }

  void call(size_t i) {
    if (ColdUntil != TimePoint{} && Now < KnowColdAt[i])
      return;
    if (!Members[i].hasLimit("e", Now))
      return Sent.push_back(Now);
    if (auto decision =
            Members[i].acquireTokens(limitName(), ++LastCall, 1, Now))
      return decide(i, {*decision});
    request(i);
  }

  void request(size_t i) {
    auto request = Members[i].makeGrantRequest(Token, Now);
    if (isLost())
      return;
    Holder->applyUsage(request.Member, request.Incarnation, request.Sequence,
                       request.Teams, Now);
    FleetLink::Grant grant{Token, request.Incarnation, request.Sequence,
                           Holder->grants(request.Member, request.Teams, Now)};
    if (!isLost())
      decide(i, Members[i].apply(grant, Now));
  }

  void decide(size_t, const std::vector<Quota::Decision> &decisions) {
    for (const Quota::Decision &it : decisions)
      if (it.isAdmitted())
        Sent.push_back(Now);
  }

  std::mt19937_64 Random;
  double Rate;
  std::vector<TimePoint> NextReportAt;
  /// When the gateways, and last the holder, learn that the endpoint is cold.
  std::vector<TimePoint> KnowColdAt;
  TimePoint ColdUntil{};
  bool HolderKnowsCold = false;
  std::optional<Gateway::FleetLimiter> Holder;
  EndpointLimits Statements;
  int64_t Token = 0;
  uint64_t Revision = 0;
  double Due = 0;
  uint64_t LastCall = 0;
};

size_t allowedIn4s(double rate) { return size_t(1.5 * rate * 4) + 5; }

} // namespace

// Issue 31, LIMIT: the limit is that of all gateways together.
TEST_CASE("gateways together keep to an endpoint's limit and use it") {
  for (size_t gateways : {1U, 8U, 81U, 195U, 420U})
    for (double rate : {0.5, 3.0, 6.6, 40.0}) {
      CAPTURE(gateways);
      CAPTURE(rate);
      LimitFleet fleet(gateways, rate, gateways);
      fleet.run(1s, 0);
      fleet.nameLimit(gateways - 1);
      // The limit is known everywhere after two reports.
      fleet.run(1500ms, 0);
      fleet.run(12s, 4 * rate);
      CHECK(fleet.mostIn(4s) <= allowedIn4s(rate));
      CHECK(double(fleet.Sent.size()) >= 0.9 * rate * 12);
    }
}

// The holder dies, and messages are lost.
TEST_CASE("gateways keep to an endpoint's limit when the holder changes and "
          "messages are lost") {
  for (uint64_t seed = 1; seed <= 40; ++seed)
    for (size_t gateways : {8U, 195U}) {
      CAPTURE(seed);
      CAPTURE(gateways);
      constexpr double rate = 6.6;
      LimitFleet fleet(gateways, rate, seed);
      fleet.LossPercent = int(seed % 4) * 5;
      fleet.run(1s, 0);
      fleet.nameLimit(seed % gateways);
      fleet.run(3s, 0);
      fleet.run(Utils::Milliseconds(3000 + 100 * seed), 3 * rate);
      fleet.changeHolder();
      fleet.run(6s, 3 * rate);
      CHECK(fleet.mostIn(4s) <= allowedIn4s(rate));
    }
}

TEST_CASE("limit of an endpoint ends with an answer that names none") {
  EndpointLimits limits;
  TimePoint now = TimePoint{} + 1h;
  CHECK(limits.noteLimit(Endpoint, 5, now));
  CHECK_FALSE(limits.noteLimit(Endpoint, 5, now + 1s));
  // Answers on several connections may overtake each other.
  CHECK_FALSE(limits.noteNoLimit(Endpoint, now + 1100ms));
  CHECK(limits.rateOf(Endpoint, now + 1200ms) == 5);
  CHECK(limits.noteNoLimit(Endpoint, now + 2s));
  CHECK(limits.rateOf(Endpoint, now + 2s) == 0);
}

TEST_CASE("newest statement about an endpoint's limit prevails in any order") {
  EndpointLimits limits;
  TimePoint now = TimePoint{} + 1h;
  CHECK(limits.merge({Endpoint, 8, now}));
  CHECK_FALSE(limits.merge({Endpoint, 3, now - 1s}));
  CHECK(limits.rateOf(Endpoint, now) == 8);
  CHECK(limits.merge({Endpoint, 3, now + 1s}));
  CHECK(limits.merge({Endpoint, 0, now + 2s}));
  CHECK_FALSE(limits.merge({Endpoint, 3, now + 1s}));
  CHECK(limits.rateOf(Endpoint, now + 2s) == 0);
}

TEST_CASE("limit that the holder confirms does not lapse") {
  EndpointLimits limits;
  TimePoint now = TimePoint{} + 1h;
  limits.noteLimit(Endpoint, 5, now);
  limits.confirm(now + 50s);
  CHECK(limits.rateOf(Endpoint, now + 100s) == 5);
  CHECK(limits.rateOf(Endpoint, now + 111s) == 0);
}

// Endpoints come and go for months.
TEST_CASE("limits of new endpoints replace those named longest ago") {
  EndpointLimits limits;
  TimePoint now = TimePoint{} + 1h;
  for (uint32_t i = 1; i <= 5000; ++i)
    CHECK(limits.noteLimit(i, 5, now + Utils::Milliseconds(i)));
  CHECK(limits.rateOf(5000, now + 6s) == 5);
  CHECK(limits.rateOf(1, now + 6s) == 0);
}

TEST_CASE("limit of an endpoint that gives no more answers lapses") {
  EndpointLimits limits;
  TimePoint now = TimePoint{} + 1h;
  limits.noteLimit(Endpoint, 5, now);
  CHECK(limits.rateOf(Endpoint, now + 59s) == 5);
  CHECK(limits.rateOf(Endpoint, now + 61s) == 0);
  CHECK(limits.statements(now + 61s).empty());
}

namespace {

enum class HolderFault { None, Gone, Replaced };

/// Most calls in a second at an endpoint that comes back cold under a burst.
size_t mostAtReturn(size_t gateways, HolderFault fault, uint64_t seed) {
  LimitFleet fleet(gateways, 20, seed);
  fleet.LossPercent = int(seed % 4) * 5;
  fleet.run(2s, 0);
  fleet.HolderDown = fault == HolderFault::Gone;
  fleet.becomeCold(8s, 900ms);
  fleet.run(Utils::Milliseconds(1000 + 50 * seed), 1000);
  if (fault == HolderFault::Replaced) {
    auto levels = fleet.Members[0].takeoverState({}, fleet.Now).Levels;
    fleet.HolderDown = true;
    fleet.run(Utils::Milliseconds(100 * (seed % 20)), 1000);
    fleet.HolderDown = false;
    fleet.electHolder(levels);
  }
  fleet.run(2900ms, 1000);
  if (fault == HolderFault::None && fleet.LossPercent == 0)
    CHECK(fleet.Sent.size() >= 60);
  return fleet.mostIn(1s);
}

} // namespace

// The endpoints of a domain come back cold under a burst, and crash above their
// limit.
TEST_CASE("gateways together keep to the limit of an endpoint that comes back "
          "cold") {
  for (auto fault :
       {HolderFault::None, HolderFault::Gone, HolderFault::Replaced})
    for (size_t gateways : {8U, 81U, 195U}) {
      size_t most = 0;
      for (uint64_t seed = 1; seed <= 20; ++seed)
        most = std::max(most, mostAtReturn(gateways, fault, seed));
      CAPTURE(int(fault));
      CAPTURE(gateways);
      CHECK(most <= MaxColdCalls);
    }
}

// An endpoint is cold again while it is called, and gateways learn of it before
// the holder does, whose limit for it has ended.
TEST_CASE("gateways together keep to the limit of an endpoint that becomes "
          "cold again") {
  for (size_t gateways : {8U, 81U, 195U})
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      CAPTURE(gateways);
      CAPTURE(seed);
      LimitFleet fleet(gateways, 20, seed);
      fleet.run(1s, 0);
      fleet.becomeCold(2s, 500ms);
      fleet.run(4s, 300);
      fleet.Sent.clear();
      fleet.becomeCold(4s, 900ms);
      fleet.run(3900ms, 300);
      CHECK(fleet.mostIn(1s) <= MaxColdCalls);
      CHECK(fleet.Sent.size() >= 40);
    }
}

TEST_CASE("limit of a cold endpoint ends with its cold time at gateways that "
          "hear nothing") {
  LimitFleet fleet(8, 20, 1);
  fleet.run(1s, 0);
  fleet.becomeCold(3s, 100ms);
  fleet.run(1s, 200);
  fleet.HolderDown = true;
  fleet.run(1990ms, 200);
  CHECK(fleet.Sent.size() < 100);
  fleet.run(10ms, 0);
  fleet.Sent.clear();
  fleet.run(1s, 200);
  CHECK(fleet.Sent.size() >= 199);
}

// The holder of a site where endpoints come and go would otherwise grant calls
// without limit to the gateways that know first of the cold endpoint.
TEST_CASE("holder grants calls to a warm endpoint at the rate of its cold "
          "time") {
  EndpointLimits limits;
  TimePoint now = TimePoint{} + 1h;
  auto limit = Quota::coldLimit(20, 35);
  CHECK_FALSE(limits.setCold(Endpoint, limit, {}, now));
  CHECK(limits.rateOf(Endpoint, now) == 0);
  CHECK(limits.grantLimitOf(Endpoint, now) == limit);
}

TEST_CASE("lower one of the limits of a cold endpoint holds") {
  EndpointLimits limits;
  TimePoint now = TimePoint{} + 1h;
  CHECK(limits.setCold(Endpoint, Quota::coldLimit(20, 35), now + 3s, now));
  limits.noteLimit(Endpoint, 40, now);
  CHECK(limits.rateOf(Endpoint, now) == 20);
  CHECK(limits.limitOf(Endpoint, now).Burst == 5);
  CHECK_FALSE(limits.endOfLimit(Endpoint, now));
  limits.noteLimit(Endpoint, 3, now + 1s);
  CHECK(limits.rateOf(Endpoint, now + 1s) == 3);
  CHECK(limits.takeWarmed(now + 2s).empty());
  limits.noteLimit(Endpoint, 40, now + 2s);
  CHECK(limits.takeWarmed(now + 3s) == std::vector<uint32_t>{Endpoint});
  CHECK(limits.takeWarmed(now + 3s).empty());
  CHECK(limits.rateOf(Endpoint, now + 3s) == 40);
}

TEST_CASE("bucket of a cold limit holds no more than the bound allows above "
          "the rate, and at least one call") {
  CHECK(Quota::coldLimit(20, 35).Burst == 5);
  CHECK(Quota::coldLimit(20, 22).Burst == 2);
  CHECK(Quota::coldLimit(20, 20).Burst == 1);
  CHECK(Quota::coldLimit(0.5, 5.75).Burst == 1);
  CHECK(Quota::coldLimit(0, 5).Rate == 0);
}

// What the last holder said of the level may be older than the calls that
// others have sent since.
TEST_CASE("bucket of a cold limit is empty at a new holder") {
  TimePoint now = TimePoint{} + 1h;
  std::string name = FleetLink::endpointLimitName(Endpoint);
  Gateway::FleetLimiter holder({{{name, 5.0}}, std::nullopt, false, 1, 0}, now);
  holder.setEndpointLimit(Endpoint, Quota::coldLimit(20, 35), now);
  FleetLink::TeamUsage use{FleetLink::hashName(name), 0, 0, 1, 1, 1};
  holder.applyUsage("g", 1, 1, {use}, now);
  CHECK(holder.grants("g", {use}, now).at(0).Granted == 0);
  holder.applyUsage("g", 1, 2, {use}, now + 60ms);
  CHECK(holder.grants("g", {use}, now + 60ms).at(0).Granted == 1);
}
