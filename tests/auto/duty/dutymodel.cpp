#include "dutymodel.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

namespace DutyModel {

namespace {

using namespace std::chrono_literals;

constexpr Milliseconds Tick{25};
constexpr Milliseconds CallTimeout{700};
constexpr Milliseconds WriteDelay{2500};
constexpr Milliseconds MessageInterval{250};
/// Interval of the reads of the store that the duty does not need.
constexpr Milliseconds PollInterval{500};
/// The operators' bound on interleaved orders of two holders.
constexpr Milliseconds AlternationBound{3000};

struct Vm {
  Duty::LeaseState State;
  /// The process must be started once the VM is up.
  bool NeedsStart = true;
  /// Number of the VM's process.
  uint64_t Incarnation = 0;
  TimePoint NextMessageAt{};
  TimePoint NextPollAt{};
  /// When the newest heartbeat was sent and received, and its sender.
  TimePoint HeartbeatSentAt{};
  TimePoint HeartbeatReceivedAt{};
  size_t HeartbeatFrom = VmCount;
  std::map<size_t, Duty::GatewayStatus> Statuses;
  uint64_t OpenCall = 0;
};

class Simulation {
public:
  Simulation(const Setup &setup, const std::vector<Fault> &faults)
      : Config(setup), Faults(faults) {
    for (size_t i = 0; i < VmCount; ++i)
      restart(i);
  }

  Result run() {
    TimePoint end = Now + Config.Duration;
    LastOrderAt = Now;
    while (Now < end && Outcome.Violation.empty()) {
      Now += Tick;
      comeBackOlder();
      runEvents();
      for (size_t i = 0; i < VmCount; ++i)
        step(i);
    }
    return Outcome;
  }

private:
  struct Event {
    TimePoint At;
    std::function<void()> Action;
  };

  bool isActive(FaultKind kind, size_t vm) const {
    return std::any_of(Faults.begin(), Faults.end(), [&](const Fault &it) {
      return it.Kind == kind && (it.Vm == vm || it.Vm == VmCount) &&
             Now >= Start + it.At && Now < Start + it.At + it.Length;
    });
  }
  bool isDown(size_t vm) const {
    return isActive(FaultKind::Pause, vm) || isActive(FaultKind::Restart, vm);
  }

  void restart(size_t i) {
    Vm &vm = Vms[i];
    uint64_t incarnation = vm.Incarnation + 1;
    vm = {};
    vm.Incarnation = incarnation;
    vm.State.Self = std::string(1, char('a' + i));
    vm.NeedsStart = false;
    vm.State.ExpectsRecord = Now > Start;
    // Weaker VMs let stronger ones claim first.
    vm.State.ClaimDelay = Milliseconds(300 * int64_t(i));
  }

  /// Takes the copies of the store, and brings it back from them.
  void comeBackOlder() {
    for (const Fault &it : Faults) {
      if (it.Kind != FaultKind::OlderCopy)
        continue;
      if (Now == Start + it.At)
        Copies[it.Vm] = {Newest, End};
      if (auto copy = Copies.find(it.Vm);
          copy != Copies.end() && Now == Start + it.At + it.Length) {
        Newest = copy->second.first;
        End = copy->second.second;
        ++*Era.Number;
      }
    }
  }

  void schedule(Milliseconds pause, std::function<void()> action) {
    Events.push_back({Now + pause, std::move(action)});
  }

  void runEvents() {
    std::vector<Event> due;
    std::erase_if(Events, [&](Event &it) {
      if (it.At > Now)
        return false;
      due.push_back(std::move(it));
      return true;
    });
    for (Event &it : due)
      it.Action();
  }

  void step(size_t i) {
    Vm &vm = Vms[i];
    if (isActive(FaultKind::Restart, i)) {
      vm.NeedsStart = true;
      return;
    }
    if (isDown(i))
      return;
    if (vm.NeedsStart)
      restart(i);
    bool stopping = isActive(FaultKind::Stop, i);
    if (vm.State.Resigning && !stopping)
      restart(i);
    vm.State.Resigning = stopping;
    if (isActive(FaultKind::HandOver, i) && vm.State.HeldToken > 0)
      vm.State.HandingOver = true;
    Duty::Step next = Duty::nextStep(vm.State, Config.Timing, Now);
    if (next == Duty::Step::Read)
      read(i);
    else if (next != Duty::Step::Wait)
      append(i, next);
    poll(i);
    sendMessages(i);
    issueOrder(i);
  }

  /// Calls the store: applies `effect` there, then runs `answer` at the VM
  /// after a round trip unless the call failed.
  void call(size_t i, bool isAppend, const std::function<void()> &effect,
            const std::function<void()> &answer) {
    uint64_t call = ++Calls;
    Vms[i].OpenCall = call;
    bool storeUnreachable = isActive(FaultKind::StoreUnreachable, i);
    bool delayed = isAppend && isActive(FaultKind::DelayedWrites, i);
    bool answerLost = isActive(FaultKind::ResponsesLost, i);
    auto era = std::make_shared<StoreEra::Era>();
    if (!storeUnreachable)
      schedule(delayed ? WriteDelay : Tick, [this, effect, era] {
        effect();
        *era = Era;
      });
    if (!storeUnreachable && !delayed && !answerLost)
      deliver(i, 2 * Tick, [this, i, call, answer, era] {
        noteStoreEra(i, *era);
        if (Vms[i].OpenCall != call)
          return;
        Vms[i].OpenCall = 0;
        answer();
      });
    deliver(i, CallTimeout, [this, i, call] {
      if (Vms[i].OpenCall != call)
        return;
      Vms[i].OpenCall = 0;
      Duty::noteFailed(Vms[i].State, Config.Timing, Now);
    });
  }

  /// The store, or another VM, has named the era to this VM.
  void noteStoreEra(size_t i, const StoreEra::Era &era) {
    Vm &vm = Vms[i];
    if (vm.State.InEra.isKnown() && vm.State.InEra < era)
      vm.OpenCall = 0;
    Duty::noteStoreEra(vm.State, era, Now);
  }

  /// Runs `action` at the VM after `pause`, or once the VM is resumed.
  void deliver(size_t i, Milliseconds pause, std::function<void()> action) {
    uint64_t incarnation = Vms[i].Incarnation;
    schedule(pause, [this, i, incarnation, action = std::move(action)] {
      if (Vms[i].Incarnation != incarnation || isActive(FaultKind::Restart, i))
        return;
      if (isActive(FaultKind::Pause, i))
        return deliver(i, Tick, action);
      action();
    });
  }

  /// Reads the store independently of the duty.
  void poll(size_t i) {
    if (Now < Vms[i].NextPollAt)
      return;
    Vms[i].NextPollAt = Now + PollInterval + CallTimeout;
    bool answered = !isActive(FaultKind::StoreUnreachable, i) &&
                    !isActive(FaultKind::ResponsesLost, i);
    deliver(i, answered ? 2 * Tick : CallTimeout, [this, i, answered] {
      Vms[i].NextPollAt = Now + PollInterval;
      if (answered)
        noteStoreEra(i, Era);
      Duty::noteStoreCall(Vms[i].State, answered, Now);
    });
  }

  void read(size_t i) {
    Duty::noteCallSent(Vms[i].State, Config.Timing, Duty::Step::Read, Now);
    auto seen = std::make_shared<std::pair<decltype(Newest), uint64_t>>();
    call(
        i, false,
        [this, seen] {
          *seen = {Newest, End};
        },
        [this, i, seen] {
          Duty::noteRead(Vms[i].State, seen->first, seen->second, Now);
        });
  }

  void append(size_t i, Duty::Step step) {
    Duty::LeaseState &state = Vms[i].State;
    Duty::Record record = Duty::recordFor(state, Config.Timing, step, Now);
    uint64_t at = state.End;
    TimePoint sentAt = Now;
    Duty::noteCallSent(state, Config.Timing, step, Now);
    auto accepted = std::make_shared<bool>(false);
    call(
        i, true,
        [this, record, at, accepted] {
          *accepted = at == End;
          if (!*accepted)
            return;
          Newest = record;
          ++End;
        },
        [this, i, record, at, accepted, sentAt] {
          if (*accepted)
            Duty::noteAccepted(Vms[i].State, Config.Timing, record, at + 1,
                               sentAt, Now);
          else
            Duty::noteFailed(Vms[i].State, Config.Timing, Now);
        });
  }

  bool canReach(size_t from, size_t to) const {
    return !isActive(FaultKind::Isolated, from) &&
           !isActive(FaultKind::Isolated, to);
  }

  bool isStoreUnreachableForAll(size_t i) {
    Vms[i].Statuses[i] = {Now, Vms[i].State.StoreUnreachable, false};
    std::vector<Duty::GatewayStatus> fleet;
    fleet.reserve(VmCount);
    for (const auto &[vm, it] : Vms[i].Statuses)
      fleet.push_back(it);
    return Duty::isStoreUnreachableForAll(fleet, VmCount, Config.Fencing,
                                          Config.Timing, Now);
  }

  /// Sends the holder's heartbeats and the other VMs' reports.
  void sendMessages(size_t i) {
    Vm &vm = Vms[i];
    if (Now < vm.NextMessageAt)
      return;
    vm.NextMessageAt = Now + MessageInterval;
    for (size_t to = 0; to < VmCount; ++to)
      if (to != i && canReach(i, to)) {
        if (vm.State.HeldToken > 0)
          sendHeartbeat(i, to);
        else if (vm.State.Newest &&
                 vm.State.Newest->Holder == Vms[to].State.Self)
          sendReport(i, to);
      }
  }

  void sendHeartbeat(size_t i, size_t to) {
    Vm &vm = Vms[i];
    Duty::Record record = *vm.State.Newest;
    record.Former = Duty::formerHolders(vm.State, Config.Timing, Now);
    auto age =
        std::chrono::duration_cast<Milliseconds>(Now - vm.State.RenewedBy);
    bool actsPastLease =
        !Duty::holdsLease(vm.State, Now) &&
        Duty::mayOrder(vm.State, isStoreUnreachableForAll(i), Now);
    deliver(to, Tick,
            [this, i, to, record, age, actsPastLease, end = vm.State.End,
             stamp = Now, era = vm.State.InEra] {
              noteStoreEra(to, era);
              Vms[to].HeartbeatFrom = i;
              Vms[to].HeartbeatSentAt = stamp;
              Vms[to].HeartbeatReceivedAt = Now;
              Duty::noteHeartbeat(Vms[to].State, record, end, age, Now);
              if (actsPastLease)
                Duty::noteActingPastLease(Vms[to].State, Config.Timing,
                                          record.Token, Now);
            });
  }

  void sendReport(size_t i, size_t to) {
    if (Vms[i].HeartbeatFrom != to)
      return; // A report is dated by the heartbeat it answers.
    TimePoint reportedAt =
        Vms[i].HeartbeatSentAt + (Now - Vms[i].HeartbeatReceivedAt);
    Duty::GatewayStatus status{reportedAt, Vms[i].State.StoreUnreachable,
                               Vms[i].State.Resigning};
    deliver(to, Tick,
            [this, i, to, status, era = Vms[i].State.InEra,
             token = Vms[i].State.HighestToken] {
              noteStoreEra(to, era);
              Duty::noteToken(Vms[to].State, token);
              Vms[to].Statuses[i] = status;
            });
  }

  void issueOrder(size_t i) {
    Vm &vm = Vms[i];
    bool storeUnreachable =
        !Duty::holdsLease(vm.State, Now) && isStoreUnreachableForAll(i);
    if (Duty::mayOrder(vm.State, storeUnreachable, Now))
      schedule(Tick, [this, i, token = vm.State.HeldToken] {
        receiveOrder(i, token);
      });
  }

  void receiveOrder(size_t i, int64_t token) {
    Outcome.LongestGap =
        std::max(Outcome.LongestGap,
                 std::chrono::duration_cast<Milliseconds>(Now - LastOrderAt));
    LastOrderAt = Now;
    ++Outcome.Orders;
    auto [owner, isNew] = TokenOwners.try_emplace(token, i);
    if (!isNew && owner->second != i)
      recordViolation("token used by two VMs", i, token);
    if (token < HighestToken)
      recordViolation("token lower than one before", i, token);
    HighestToken = std::max(HighestToken, token);
    if (LastVm && *LastVm != i && LastOrderByVm[i] != TimePoint{} &&
        Now < LastOrderByVm[*LastVm] + AlternationBound &&
        Now < LastOrderByVm[i] + 3 * AlternationBound)
      recordViolation("turns", i, token);
    LastOrderByVm[i] = Now;
    LastVm = i;
  }

  void recordViolation(std::string_view what, size_t i, int64_t token) {
    if (Outcome.Violation.empty())
      Outcome.Violation = std::string(what) + " by " + Vms[i].State.Self +
                          " with " + std::to_string(token) + " at " +
                          std::to_string(Utils::msBetween(Start, Now)) + " ms";
  }

  const Setup &Config;
  const std::vector<Fault> &Faults;
  const TimePoint Start{1h};
  TimePoint Now{Start};
  std::array<Vm, VmCount> Vms;
  std::vector<Event> Events;
  uint64_t Calls = 0;
  std::optional<Duty::Record> Newest;
  uint64_t End = 0;
  StoreEra::Era Era{1};
  std::map<size_t, std::pair<std::optional<Duty::Record>, uint64_t>> Copies;
  std::map<int64_t, size_t> TokenOwners;
  int64_t HighestToken = 0;
  std::optional<size_t> LastVm;
  std::array<TimePoint, VmCount> LastOrderByVm{};
  TimePoint LastOrderAt;
  Result Outcome;
};

} // namespace

std::string_view faultName(FaultKind kind) {
  static constexpr std::string_view names[] = {
      "pause",        "restart",      "stop",  "hand_over", "store_away",
      "answers_lost", "late_effects", "alone", "older_copy"};
  return names[static_cast<size_t>(kind)];
}

std::string describe(const std::vector<Fault> &faults) {
  std::string out;
  for (const Fault &it : faults)
    out += std::string(faultName(it.Kind)) + " of " +
           (it.Vm == VmCount ? "all" : std::string(1, char('a' + it.Vm))) +
           " at " + std::to_string(it.At.count()) + " ms for " +
           std::to_string(it.Length.count()) + " ms; ";
  return out;
}

Result simulate(const Setup &setup, const std::vector<Fault> &faults) {
  return Simulation(setup, faults).run();
}

} // namespace DutyModel
