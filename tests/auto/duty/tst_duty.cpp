#include "duty/duty.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <list>
#include <map>
#include <random>
#include <utility>
#include <vector>

using namespace std::chrono_literals;
using namespace Duty;

namespace {

struct SingleVm {
  Policy Timing;
  LeaseState State;
  TimePoint Now{1h};

  SingleVm() {
    State.Self = "a";
    State.Address = "10.0.0.1:1";
  }
  Step nextAction() const { return nextStep(State, Timing, Now); }
  void read(std::optional<Record> newest, uint64_t end) {
    noteCallSent(State, Timing, Step::Read, Now);
    noteRead(State, std::move(newest), end, Now);
    Now += Timing.CallInterval;
  }
  void claim() {
    noteCallSent(State, Timing, Step::Claim, Now);
    noteAccepted(State, Timing, recordFor(State, Timing, Step::Claim, Now),
                 State.End + 1, Now, Now);
    Now += Timing.CallInterval;
  }
  Record recordOfOther(int64_t token) const {
    return {"b", "10.0.0.2:1", token, false};
  }
};

} // namespace

TEST_CASE_FIXTURE(SingleVm,
                  "unheld duty is read and then claimed with the first token") {
  CHECK(nextAction() == Step::Read);
  read(std::nullopt, 0);
  CHECK(nextAction() == Step::Claim);
  claim();
  CHECK(holdsLease(State, Now));
  CHECK(State.HeldToken == 1);
}

TEST_CASE_FIXTURE(
    SingleVm,
    "held duty is not claimed before its lease has expired without a renewal") {
  read(recordOfOther(4), 9);
  noteHeartbeat(State, recordOfOther(4), 10, 0ms, Now);
  TimePoint renewed = Now;
  Now = renewed + Timing.Lease - 1ms;
  CHECK(nextAction() != Step::Claim);
  Now = renewed + Timing.Lease;
  CHECK(nextAction() == Step::Read); // Checks for a renewal.
  read(recordOfOther(4), 10);
  CHECK(nextAction() == Step::Claim);
  CHECK(recordFor(State, Timing, Step::Claim, Now).Token == 5);
}

TEST_CASE_FIXTURE(SingleVm, "duty is not claimed from a holder that acts past "
                            "its lease until its heartbeats stop") {
  read(recordOfOther(4), 9);
  Now += Timing.Lease;
  read(recordOfOther(4), 9);
  REQUIRE(nextAction() == Step::Claim);
  noteActingPastLease(State, Timing, 4, Now);
  TimePoint heardActing = Now;
  read(recordOfOther(4), 9); // Not renewed.
  CHECK(nextAction() != Step::Claim);
  Now = heardActing + Timing.HolderTimeout - 1ms;
  CHECK(nextAction() != Step::Claim);
  Now = heardActing + Timing.HolderTimeout;
  read(recordOfOther(4), 9);
  CHECK(nextAction() == Step::Claim);
}

TEST_CASE_FIXTURE(
    SingleVm, "lease of a renewal first seen by a read counts from the read") {
  read(recordOfOther(4), 9);
  Now += Timing.Lease;
  read(recordOfOther(4), 11);
  CHECK(nextAction() != Step::Claim);
}

TEST_CASE_FIXTURE(
    SingleVm,
    "holder renews its lease and stops acting before the lease ends") {
  read(std::nullopt, 0);
  claim();
  Now += Timing.RenewInterval;
  CHECK(nextAction() == Step::Renew);
  Now = State.RenewedBy + Timing.Lease - Timing.Margin;
  CHECK_FALSE(holdsLease(State, Now));
}

TEST_CASE_FIXTURE(SingleVm, "holder whose renewal is not answered reads its "
                            "own record and renews again") {
  read(std::nullopt, 0);
  claim();
  TimePoint until = State.HeldUntil;
  noteCallSent(State, Timing, Step::Renew, Now);
  noteFailed(State, Timing, Now);
  Now += Timing.RetryAfter;
  CHECK(nextAction() == Step::Read);
  Record own = *State.Newest;
  read(own, State.End + 1);
  CHECK(State.HeldToken == 1);
  CHECK(State.HeldUntil == until);
  CHECK(nextAction() == Step::Renew);
}

TEST_CASE_FIXTURE(SingleVm,
                  "holder that hears of a higher token drops the duty") {
  read(std::nullopt, 0);
  claim();
  noteHeartbeat(State, recordOfOther(1), 2, 0ms, Now);
  CHECK(State.HeldToken == 1);
  noteHeartbeat(State, recordOfOther(2), 5, 0ms, Now);
  CHECK(State.HeldToken == 0);
}

TEST_CASE_FIXTURE(
    SingleVm,
    "released duty is claimed at once, but not by a VM that is shutting down") {
  Record released = recordOfOther(4);
  released.Released = true;
  read(released, 9);
  CHECK(nextAction() == Step::Claim);
  claim();
  State.Resigning = true;
  CHECK(nextAction() == Step::Release);
  noteCallSent(State, Timing, Step::Release, Now);
  noteAccepted(State, Timing, recordFor(State, Timing, Step::Release, Now),
               State.End + 1, Now, Now);
  Now += 10s;
  CHECK_FALSE(holdsLease(State, Now));
  CHECK(nextAction() == Step::Wait);
}

TEST_CASE_FIXTURE(SingleVm, "weaker VM delays its claim of an unheld duty") {
  State.ClaimDelay = 1s;
  read(std::nullopt, 0);
  TimePoint readAt = State.RenewedBy;
  Now = readAt + 999ms;
  CHECK(nextAction() == Step::Wait);
  Now = readAt + 1s;
  CHECK(nextAction() == Step::Claim);
}

TEST_CASE_FIXTURE(
    SingleVm,
    "holder that hands over releases the duty and may claim it again later") {
  read(std::nullopt, 0);
  claim();
  State.HandingOver = true;
  CHECK(nextAction() == Step::Release);
  noteCallSent(State, Timing, Step::Release, Now);
  noteAccepted(State, Timing, recordFor(State, Timing, Step::Release, Now),
               State.End + 1, Now, Now);
  CHECK_FALSE(holdsLease(State, Now));
  State.ClaimDelay = 1s;
  CHECK(nextAction() == Step::Wait);
  Now += 2s;
  CHECK(nextAction() == Step::Claim);
}

TEST_CASE_FIXTURE(
    SingleVm,
    "restarted process of the holder's VM claims at once with a new token") {
  read(Record{"a", "10.0.0.1:1", 7, false}, 9);
  CHECK(nextAction() == Step::Claim);
  CHECK(nextStepAt(State, Timing) <= Now);
  CHECK(recordFor(State, Timing, Step::Claim, Now).Token == 8);
}

namespace {

/// VMs that compete for the duty through a store. Answers are delayed or lost,
/// appends may take effect seconds late, and VMs are suspended at random.
struct SimulatedFleet {
  struct ScheduledEvent {
    TimePoint At;
    std::function<void()> Action;
  };
  struct Vm {
    LeaseState State;
    TimePoint SuspendedUntil{};
  };

  explicit SimulatedFleet(uint64_t seed) : Random(seed), Vms(5) {
    for (size_t i = 0; i < Vms.size(); ++i)
      Vms[i].State.Self = "vm" + std::to_string(i);
  }

  int64_t randomBetween(int64_t from, int64_t to) {
    return std::uniform_int_distribution<int64_t>(from, to)(Random);
  }
  bool withProbability(int percent) { return randomBetween(1, 100) <= percent; }
  void schedule(int64_t ms, std::function<void()> action) {
    Events.push_back({Now + Milliseconds(ms), std::move(action)});
  }

  void append(Vm &vm, Step step) {
    Record record = recordFor(vm.State, Timing, step, Now);
    uint64_t at = vm.State.End;
    TimePoint sentAt = Now;
    noteCallSent(vm.State, Timing, step, Now);
    uint64_t call = ++Calls;
    OpenCalls[&vm] = call;
    auto effect = [this, &vm, record, at, sentAt, call] {
      bool accepted = at == End;
      if (accepted) {
        Newest = record;
        Tokens.push_back(record.Token);
        ++End;
      }
      uint64_t end = End;
      if (!withProbability(LostPercent))
        schedule(randomBetween(1, 300),
                 [this, &vm, record, accepted, end, sentAt, call] {
                   if (std::exchange(OpenCalls[&vm], 0) != call)
                     return;
                   if (accepted)
                     noteAccepted(vm.State, Timing, record, end, sentAt, Now);
                   else
                     noteFailed(vm.State, Timing, Now);
                 });
    };
    if (!withProbability(LostPercent / 2))
      schedule(withProbability(DelayedPercent) ? randomBetween(1000, 6000)
                                               : randomBetween(1, 300),
               effect);
    scheduleTimeout(vm, call);
  }

  void read(Vm &vm) {
    TimePoint sentAt = Now;
    noteCallSent(vm.State, Timing, Step::Read, Now);
    uint64_t call = ++Calls;
    OpenCalls[&vm] = call;
    if (!withProbability(LostPercent))
      schedule(randomBetween(1, 300), [this, &vm, sentAt, call] {
        auto newest = Newest;
        uint64_t end = End;
        schedule(randomBetween(1, 300), [this, &vm, newest, end, sentAt, call] {
          if (std::exchange(OpenCalls[&vm], 0) == call)
            noteRead(vm.State, newest, end, sentAt);
        });
      });
    scheduleTimeout(vm, call);
  }

  void scheduleTimeout(Vm &vm, uint64_t call) {
    schedule(700, [this, &vm, call] {
      if (OpenCalls[&vm] != call)
        return;
      OpenCalls[&vm] = 0;
      noteFailed(vm.State, Timing, Now);
    });
  }

  void tick() {
    Now += 10ms;
    for (auto it = Events.begin(); it != Events.end();) {
      if (it->At > Now) {
        ++it;
        continue;
      }
      auto action = std::move(it->Action);
      it = Events.erase(it);
      action();
    }
    for (Vm &vm : Vms) {
      if (Now < vm.SuspendedUntil)
        continue;
      if (randomBetween(1, 20000) == 1)
        vm.SuspendedUntil = Now + Milliseconds(randomBetween(100, 6000));
      Step step = nextStep(vm.State, Timing, Now);
      if (step == Step::Read)
        read(vm);
      else if (step != Step::Wait)
        append(vm, step);
    }
  }

  int holderCount() const {
    int n = 0;
    for (const Vm &vm : Vms)
      n += Now >= vm.SuspendedUntil && holdsLease(vm.State, Now);
    return n;
  }

  std::mt19937_64 Random;
  int LostPercent = 20;
  int DelayedPercent = 10;
  Policy Timing;
  TimePoint Now{1h};
  std::vector<Vm> Vms;
  std::list<ScheduledEvent> Events;
  std::map<Vm *, uint64_t> OpenCalls;
  uint64_t Calls = 0;
  std::optional<Record> Newest;
  uint64_t End = 0;
  std::vector<int64_t> Tokens;
};

} // namespace

TEST_CASE("duty has one holder at a time and increasing tokens if answers are "
          "lost or late") {
  int held = 0;
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    INFO("seed " << seed);
    SimulatedFleet fleet(seed);
    for (int i = 0; i < 6000; ++i) {
      fleet.tick();
      REQUIRE(fleet.holderCount() <= 1);
      held += fleet.holderCount();
    }
    for (size_t i = 1; i < fleet.Tokens.size(); ++i)
      REQUIRE(fleet.Tokens[i] >= fleet.Tokens[i - 1]);
  }
  // A third of the calls fails or times out; the duty must still be held for
  // at least a quarter of the time.
  CHECK(held > 30 * 6000 / 4);
}

TEST_CASE("duty of a failed VM is claimed within 4 s if the store answers") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedFleet fleet(seed);
    fleet.LostPercent = 0;
    fleet.DelayedPercent = 0;
    auto holder = [&] {
      return std::find_if(fleet.Vms.begin(), fleet.Vms.end(), [&](auto &vm) {
        return fleet.Now >= vm.SuspendedUntil &&
               holdsLease(vm.State, fleet.Now);
      });
    };
    while (holder() == fleet.Vms.end())
      fleet.tick();
    holder()->SuspendedUntil = TimePoint::max();
    TimePoint died = fleet.Now;
    while (holder() == fleet.Vms.end())
      fleet.tick();
    CHECK(fleet.Now - died <= 4s);
  }
}
