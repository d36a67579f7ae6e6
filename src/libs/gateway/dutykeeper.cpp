#include "gateway/dutykeeper.h"

#include "codec/codec.h"
#include "duty/serialize.h"
#include "gateway/gatewayconstants.h"
#include "utils/utils.h"

#include <utility>

namespace Gateway {

namespace {

/// How long a former holder is listed, as a multiple of the cool-down before it
/// gives orders again: a term may be shorter than the cool-down.
constexpr int RetentionFactor = 3;

} // namespace

DutyKeeper::DutyKeeper(asio::io_context &loop, const Store &store,
                       std::string self, std::string address,
                       Utils::Milliseconds reacquirePause, bool firstStart)
    : Source(store), StepTimer(loop), Random(std::random_device{}()) {
  Policy.ReacquirePause = reacquirePause;
  Policy.FormerHolderRetention = RetentionFactor * reacquirePause;
  State.ExpectsRecord = !firstStart;
  State.Self = std::move(self);
  State.Address = std::move(address);
}

void DutyKeeper::start() { step(); }

void DutyKeeper::release() {
  State.Resigning = true;
  step();
}

bool DutyKeeper::holds() const {
  return Duty::holdsLease(State, Utils::BootClock::now());
}

bool DutyKeeper::mayOrder(bool storeUnreachableForAll) const {
  return Duty::mayOrder(State, storeUnreachableForAll, Utils::BootClock::now());
}

std::vector<Duty::FormerHolder> DutyKeeper::formerHolders() const {
  return Duty::formerHolders(State, Policy, Utils::BootClock::now());
}

void DutyKeeper::noteHeartbeat(const Duty::Record &record, uint64_t end,
                               Utils::Milliseconds age) {
  Duty::noteHeartbeat(State, record, end, age, Utils::BootClock::now());
  noteChange();
}

void DutyKeeper::noteStoreEra(const StoreEra::Era &era) {
  bool wasKnown = State.InEra.isKnown();
  Duty::noteStoreEra(State, era, Utils::BootClock::now());
  if (!wasKnown)
    return;
  ++CallNumber;
  noteChange();
  step();
}

void DutyKeeper::noteToken(int64_t token) {
  Duty::noteToken(State, token);
  noteChange();
}

void DutyKeeper::noteActingPastLease(int64_t token) {
  Duty::noteActingPastLease(State, Policy, token, Utils::BootClock::now());
}

void DutyKeeper::noteStoreCall(bool answered) {
  Duty::noteStoreCall(State, answered, Utils::BootClock::now());
}

void DutyKeeper::probe() {
  Utils::TimePoint now = Utils::BootClock::now();
  if (Probing || now < NextProbeAt)
    return;
  Probing = true;
  NextProbeAt = now + Policy.CallInterval;
  Source.ReadDuty(now + StoreTimeout, [this](const auto &result) {
    Probing = false;
    OnStoreCall(bool(result));
  });
}

void DutyKeeper::noteFenced() {
  State.HeldToken = 0;
  State.RecordKnown = false;
  noteChange();
}

void DutyKeeper::handOver() {
  if (std::exchange(State.HandingOver, true))
    return;
  Utils::Event("duty_handed_over").with("token", State.HeldToken).info();
  step();
}

void DutyKeeper::scheduleStep() {
  // Jitter, so that not all gateways call the store at once.
  std::uniform_int_distribution<int> jitter(0, 100);
  auto at = Duty::nextStepAt(State, Policy);
  auto now = Utils::BootClock::now();
  if (at == Utils::TimePoint::max())
    return; // The answer to the call in flight schedules the next step.
  StepTimer.callAt(std::max(at, now + milliseconds(10)) +
                       milliseconds(jitter(Random)),
                   [this] { step(); });
}

void DutyKeeper::step() {
  Utils::TimePoint now = Utils::BootClock::now();
  Duty::Step next = Duty::nextStep(State, Policy, now);
  if (next == Duty::Step::Wait)
    return scheduleStep();
  Duty::noteCallSent(State, Policy, next, now);
  if (next == Duty::Step::Read)
    return read();
  append(next);
}

namespace {

Utils::Outcome<Duty::Record> decodeRecord(const std::string &bytes) {
  auto record = Codec::decode<Duty::Record>(bytes);
  if (record)
    return record;
  if (auto earlier = Codec::decode<Duty::RecordWithoutPeers>(bytes))
    return earlier->Value;
  if (auto earlier = Codec::decode<Duty::RecordWithoutEra>(bytes))
    return earlier->Value;
  return record;
}

} // namespace

void DutyKeeper::read() {
  Utils::TimePoint sentAt = Utils::BootClock::now();
  Source.ReadDuty(sentAt + StoreTimeout,
                  [this, number = ++CallNumber](auto result) {
                    if (number != CallNumber)
                      return;
                    Utils::TimePoint now = Utils::BootClock::now();
                    if (!result) {
                      Duty::noteFailed(State, Policy, now);
                      noteChange();
                      return scheduleStep();
                    }
                    std::optional<Duty::Record> newest;
                    if (result->Value) {
                      auto record = decodeRecord(*result->Value);
                      if (record)
                        newest = std::move(record.value());
                      else
                        Utils::Event("duty_record_unreadable")
                            .with("error", record.error().What)
                            .error();
                    }
                    Duty::noteRead(State, std::move(newest), result->End, now);
                    noteChange();
                    if (OnRead)
                      OnRead();
                    scheduleStep();
                  });
}

void DutyKeeper::append(Duty::Step step) {
  Utils::TimePoint sentAt = Utils::BootClock::now();
  if (step != Duty::Step::Claim && MakeNotes)
    State.Notes = MakeNotes();
  if (step != Duty::Step::Claim && ListPeers)
    State.Peers = ListPeers();
  Duty::Record record = Duty::recordFor(State, Policy, step, sentAt);
  Source.AppendDuty(State.End, Codec::encode(record), sentAt + StoreTimeout,
                    [this, record, sentAt, number = ++CallNumber](
                        const Utils::Outcome<uint64_t> &end) {
                      if (number != CallNumber)
                        return;
                      Utils::TimePoint now = Utils::BootClock::now();
                      if (end)
                        Duty::noteAccepted(State, Policy, record, *end, sentAt,
                                           now);
                      else
                        Duty::noteFailed(State, Policy, now);
                      noteChange();
                      scheduleStep();
                    });
}

void DutyKeeper::noteChange() {
  bool held = State.HeldToken > 0;
  if (held == WasHeld)
    return;
  WasHeld = held;
  Utils::Event(held ? "duty_taken" : "duty_lost")
      .with("token", held           ? State.HeldToken
                     : State.Newest ? State.Newest->Token
                                    : 0)
      .with("holder", State.Newest ? State.Newest->Holder : "")
      .info();
  if (OnChange)
    OnChange();
}

} // namespace Gateway
