#include "dutymodel.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

namespace DutyModel {

namespace {

using namespace std::chrono_literals;

constexpr Milliseconds Tick{25};
constexpr Milliseconds CallLimit{700};
constexpr Milliseconds LateEffect{2500};
constexpr Milliseconds TellEvery{250};
/// Reads of the store beside those of the duty.
constexpr Milliseconds PollEvery{500};
/// Bound of the operators on turns.
constexpr Milliseconds TurnBound{3000};

struct Vm {
  Duty::Watch It;
  /// Process started anew when the VM is up again.
  bool IsNew = true;
  /// Tells processes of the VM apart.
  uint64_t Life = 0;
  TimePoint TellsAt{};
  TimePoint PollsAt{};
  /// When the newest beat was sent, by its sender, and when it came.
  TimePoint BeatStamp{};
  TimePoint BeatAt{};
  size_t BeatOf = VmCount;
  std::map<size_t, Duty::Witness> Fleet;
  uint64_t OpenCall = 0;
};

class World {
public:
  World(const Setup &setup, const std::vector<Fault> &faults)
      : It(setup), Faults(faults) {
    for (size_t i = 0; i < VmCount; ++i)
      begin(i);
  }

  Result run() {
    TimePoint end = Now + It.Horizon;
    LastOrderAt = Now;
    while (Now < end && Out.Broken.empty()) {
      Now += Tick;
      runEvents();
      for (size_t i = 0; i < VmCount; ++i)
        step(i);
    }
    return Out;
  }

private:
  struct Event {
    TimePoint At;
    std::function<void()> Do;
  };

  bool strikes(FaultKind kind, size_t vm) const {
    return std::any_of(Faults.begin(), Faults.end(), [&](const Fault &it) {
      return it.Kind == kind && (it.Vm == vm || it.Vm == VmCount) &&
             Now >= Start + it.At && Now < Start + it.At + it.Length;
    });
  }
  bool isDown(size_t vm) const {
    return strikes(FaultKind::Pause, vm) || strikes(FaultKind::Restart, vm);
  }

  void begin(size_t i) {
    Vm &vm = Vms[i];
    uint64_t life = vm.Life + 1;
    vm = {};
    vm.Life = life;
    vm.It.Self = std::string(1, char('a' + i));
    vm.IsNew = false;
    // Small VMs leave the duty to stronger ones.
    vm.It.ClaimDelay = Milliseconds(300 * int64_t(i));
  }

  void later(Milliseconds pause, std::function<void()> what) {
    Events.push_back({Now + pause, std::move(what)});
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
      it.Do();
  }

  void step(size_t i) {
    Vm &vm = Vms[i];
    if (strikes(FaultKind::Restart, i)) {
      vm.IsNew = true;
      return;
    }
    if (isDown(i))
      return;
    if (vm.IsNew)
      begin(i);
    bool stopping = strikes(FaultKind::Stop, i);
    if (vm.It.GivingUp && !stopping)
      begin(i);
    vm.It.GivingUp = stopping;
    if (strikes(FaultKind::HandOver, i) && vm.It.HeldToken > 0)
      vm.It.HandingOver = true;
    Duty::Step next = Duty::nextStep(vm.It, It.Agreed, Now);
    if (next == Duty::Step::Read)
      read(i);
    else if (next != Duty::Step::Wait)
      append(i, next);
    poll(i);
    tell(i);
    order(i);
  }

  /// Runs `answer` at the VM after a round trip, unless the call failed.
  void call(size_t i, bool isAppend, const std::function<void()> &effect,
            const std::function<void()> &answer) {
    uint64_t call = ++Calls;
    Vms[i].OpenCall = call;
    bool away = strikes(FaultKind::StoreAway, i);
    bool late = isAppend && strikes(FaultKind::LateEffects, i);
    bool lost = strikes(FaultKind::AnswersLost, i);
    if (!away)
      later(late ? LateEffect : Tick, effect);
    if (!away && !late && !lost)
      deliver(i, 2 * Tick, [this, i, call, answer] {
        if (std::exchange(Vms[i].OpenCall, 0) != call)
          return;
        answer();
      });
    deliver(i, CallLimit, [this, i, call] {
      if (Vms[i].OpenCall != call)
        return;
      Vms[i].OpenCall = 0;
      Duty::noteFailed(Vms[i].It, It.Agreed, Now);
    });
  }

  /// Runs `what` at the VM; one that stands still finds it waiting.
  void deliver(size_t i, Milliseconds pause, std::function<void()> what) {
    uint64_t life = Vms[i].Life;
    later(pause, [this, i, life, what = std::move(what)] {
      if (Vms[i].Life != life || strikes(FaultKind::Restart, i))
        return;
      if (strikes(FaultKind::Pause, i))
        return deliver(i, Tick, what);
      what();
    });
  }

  /// Reads of the store that do not depend on the duty.
  void poll(size_t i) {
    if (Now < Vms[i].PollsAt)
      return;
    Vms[i].PollsAt = Now + PollEvery + CallLimit;
    bool answered = !strikes(FaultKind::StoreAway, i) &&
                    !strikes(FaultKind::AnswersLost, i);
    deliver(i, answered ? 2 * Tick : CallLimit, [this, i, answered] {
      Vms[i].PollsAt = Now + PollEvery;
      Duty::noteStoreCall(Vms[i].It, answered, Now);
    });
  }

  void read(size_t i) {
    Duty::begin(Vms[i].It, It.Agreed, Duty::Step::Read, Now);
    auto seen = std::make_shared<std::pair<decltype(Newest), uint64_t>>();
    call(
        i, false,
        [this, seen] {
          *seen = {Newest, End};
        },
        [this, i, seen] {
          Duty::noteRead(Vms[i].It, seen->first, seen->second, Now);
        });
  }

  void append(size_t i, Duty::Step step) {
    Duty::Watch &watch = Vms[i].It;
    Duty::Record record = Duty::recordFor(watch, It.Agreed, step, Now);
    uint64_t at = watch.End;
    TimePoint sentAt = Now;
    Duty::begin(watch, It.Agreed, step, Now);
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
            Duty::noteAccepted(Vms[i].It, It.Agreed, record, at + 1, sentAt,
                               Now);
          else
            Duty::noteFailed(Vms[i].It, It.Agreed, Now);
        });
  }

  bool reaches(size_t from, size_t to) const {
    return !strikes(FaultKind::Alone, from) && !strikes(FaultKind::Alone, to);
  }

  bool isStoreAwayForAll(size_t i) {
    Vms[i].Fleet[i] = {Now, Vms[i].It.StoreMissed, false};
    std::vector<Duty::Witness> fleet;
    fleet.reserve(VmCount);
    for (const auto &[vm, it] : Vms[i].Fleet)
      fleet.push_back(it);
    return Duty::isStoreAwayForAll(fleet, VmCount, It.Fencing, It.Agreed, Now);
  }

  /// Beats of the holder, reports of the others.
  void tell(size_t i) {
    Vm &vm = Vms[i];
    if (Now < vm.TellsAt)
      return;
    vm.TellsAt = Now + TellEvery;
    for (size_t to = 0; to < VmCount; ++to)
      if (to != i && reaches(i, to)) {
        if (vm.It.HeldToken > 0)
          beat(i, to);
        else if (vm.It.Newest && vm.It.Newest->Holder == Vms[to].It.Self)
          report(i, to);
      }
  }

  void beat(size_t i, size_t to) {
    Vm &vm = Vms[i];
    Duty::Record record = *vm.It.Newest;
    record.Former = Duty::formerHolders(vm.It, It.Agreed, Now);
    auto age = std::chrono::duration_cast<Milliseconds>(Now - vm.It.RenewedBy);
    bool acts = !Duty::holds(vm.It, Now) &&
                Duty::mayOrder(vm.It, isStoreAwayForAll(i), Now);
    deliver(to, Tick,
            [this, i, to, record, age, acts, end = vm.It.End, stamp = Now] {
              Vms[to].BeatOf = i;
              Vms[to].BeatStamp = stamp;
              Vms[to].BeatAt = Now;
              Duty::noteHeard(Vms[to].It, record, end, age, Now);
              if (acts)
                Duty::noteActing(Vms[to].It, It.Agreed, record.Token, Now);
            });
  }

  void report(size_t i, size_t to) {
    if (Vms[i].BeatOf != to)
      return; // It was not heard yet, nor can the age of this be told.
    TimePoint saidAt = Vms[i].BeatStamp + (Now - Vms[i].BeatAt);
    Duty::Witness said{saidAt, Vms[i].It.StoreMissed, Vms[i].It.GivingUp};
    deliver(to, Tick, [this, i, to, said] { Vms[to].Fleet[i] = said; });
  }

  void order(size_t i) {
    Vm &vm = Vms[i];
    bool away = !Duty::holds(vm.It, Now) && isStoreAwayForAll(i);
    if (Duty::mayOrder(vm.It, away, Now))
      later(Tick, [this, i, token = vm.It.HeldToken] { take(i, token); });
  }

  void take(size_t i, int64_t token) {
    Out.LongestGap =
        std::max(Out.LongestGap,
                 std::chrono::duration_cast<Milliseconds>(Now - LastOrderAt));
    LastOrderAt = Now;
    ++Out.Orders;
    auto [owner, isNew] = Owners.try_emplace(token, i);
    if (!isNew && owner->second != i)
      breaks("token of two VMs", i, token);
    if (token < HighestToken)
      breaks("lower token", i, token);
    HighestToken = std::max(HighestToken, token);
    if (LastVm && *LastVm != i && OrderedAt[i] != TimePoint{} &&
        Now < OrderedAt[*LastVm] + TurnBound &&
        Now < OrderedAt[i] + 3 * TurnBound)
      breaks("turns", i, token);
    OrderedAt[i] = Now;
    LastVm = i;
  }

  void breaks(std::string_view what, size_t i, int64_t token) {
    if (Out.Broken.empty())
      Out.Broken = std::string(what) + " by " + Vms[i].It.Self + " with " +
                   std::to_string(token) + " at " +
                   std::to_string(Utils::msBetween(Start, Now)) + " ms";
  }

  const Setup &It;
  const std::vector<Fault> &Faults;
  const TimePoint Start{1h};
  TimePoint Now{Start};
  std::array<Vm, VmCount> Vms;
  std::vector<Event> Events;
  uint64_t Calls = 0;
  std::optional<Duty::Record> Newest;
  uint64_t End = 0;
  std::map<int64_t, size_t> Owners;
  int64_t HighestToken = 0;
  std::optional<size_t> LastVm;
  std::array<TimePoint, VmCount> OrderedAt{};
  TimePoint LastOrderAt;
  Result Out;
};

} // namespace

std::string_view faultName(FaultKind kind) {
  static constexpr std::string_view names[] = {
      "pause",      "restart",      "stop",         "hand_over",
      "store_away", "answers_lost", "late_effects", "alone"};
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

Result play(const Setup &setup, const std::vector<Fault> &faults) {
  return World(setup, faults).run();
}

} // namespace DutyModel
