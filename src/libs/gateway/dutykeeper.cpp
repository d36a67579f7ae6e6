#include "gateway/dutykeeper.h"

#include "codec/codec.h"
#include "gateway/gatewayconstants.h"
#include "utils/utils.h"

#include <utility>

namespace Duty {

template <class Archive> void serialize(Archive &archive, Record &it) {
  archive(it.Holder, it.Address, it.Token, it.Released, it.Members);
}

} // namespace Duty

namespace Gateway {

DutyKeeper::DutyKeeper(asio::io_context &loop, const Store &store,
                       std::string self, std::string address)
    : Source(store), Wake(loop), Random(std::random_device{}()) {
  State.Self = std::move(self);
  State.Address = std::move(address);
}

void DutyKeeper::start() { step(); }

void DutyKeeper::giveUp() {
  State.GivingUp = true;
  step();
}

bool DutyKeeper::holds() const {
  return Duty::holds(State, Utils::BootClock::now());
}

void DutyKeeper::hear(const Duty::Record &record, uint64_t end,
                      Utils::Milliseconds age) {
  Duty::noteHeard(State, record, end, age, Utils::BootClock::now());
  noteChange();
}

void DutyKeeper::noteFenced() {
  State.HeldToken = 0;
  State.Known = false;
  noteChange();
}

void DutyKeeper::handOver() {
  if (std::exchange(State.HandingOver, true))
    return;
  Utils::Event("duty_handed_over").with("token", State.HeldToken).info();
  step();
}

void DutyKeeper::wake() {
  // Spread, so that not all gateways ask at once.
  std::uniform_int_distribution<int> spread(0, 100);
  auto at = Duty::nextStepAt(State, Policy);
  auto now = Utils::BootClock::now();
  if (at == Utils::TimePoint::max())
    return; // The answer to the call under way comes first.
  Wake.expires_at(std::max(at, now + milliseconds(10)) +
                  milliseconds(spread(Random)));
  Wake.async_wait([this](const std::error_code &ec) {
    if (!ec)
      step();
  });
}

void DutyKeeper::step() {
  Utils::TimePoint now = Utils::BootClock::now();
  Duty::Step next = Duty::nextStep(State, Policy, now);
  if (next == Duty::Step::Wait)
    return wake();
  Duty::begin(State, Policy, next, now);
  if (next == Duty::Step::Read)
    return read();
  append(next);
}

void DutyKeeper::read() {
  Utils::TimePoint sentAt = Utils::BootClock::now();
  Source.ReadDuty(sentAt + StoreAnswerLimit, [this](auto result) {
    Utils::TimePoint now = Utils::BootClock::now();
    if (!result) {
      Duty::noteFailed(State, Policy, now);
      noteChange();
      return wake();
    }
    std::optional<Duty::Record> newest;
    if (result->Value) {
      auto record = Codec::decode<Duty::Record>(*result->Value);
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
    wake();
  });
}

void DutyKeeper::append(Duty::Step step) {
  Utils::TimePoint sentAt = Utils::BootClock::now();
  Duty::Record record = Duty::recordFor(State, step);
  Source.AppendDuty(
      State.End, Codec::encode(record), sentAt + StoreAnswerLimit,
      [this, record, sentAt](const Utils::Outcome<uint64_t> &end) {
        if (end)
          Duty::noteAccepted(State, Policy, record, *end, sentAt);
        else
          Duty::noteFailed(State, Policy, Utils::BootClock::now());
        noteChange();
        wake();
      });
}

void DutyKeeper::noteChange() {
  bool held = State.HeldToken > 0;
  if (held == Held)
    return;
  Held = held;
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
