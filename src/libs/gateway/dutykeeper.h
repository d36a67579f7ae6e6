#ifndef GATEWAY_DUTYKEEPER_H
#define GATEWAY_DUTYKEEPER_H

#include "duty/duty.h"
#include "gateway/store.h"
#include "httpio/httpio.h"

#include <functional>
#include <random>

namespace Gateway {

/// Seeks, renews and gives up the fleet's duty on the platform's store.
class DutyKeeper {
public:
  DutyKeeper(asio::io_context &loop, const Store &store, std::string self,
             std::string address, Utils::Milliseconds turnPause);

  void start();
  /// Gives the duty up, now and for good.
  void giveUp();
  /// Another holder was heard of.
  void hear(const Duty::Record &record, uint64_t end, Utils::Milliseconds age);
  /// That holder goes on beyond its lease.
  void hearActing(int64_t token);
  /// Another call to the store was answered or has failed.
  void noteStoreCall(bool answered);
  /// Asks the store for nothing but an answer, at most every CallInterval.
  void probe();
  /// An engine has refused this VM's token for a higher one.
  void noteFenced();
  /// Gives the duty to a stronger VM.
  void handOver();
  /// Time that this VM leaves stronger ones for a claim.
  void setClaimDelay(Utils::Milliseconds delay) { State.ClaimDelay = delay; }

  const Duty::LeaseState &watch() const { return State; }
  bool holds() const;
  /// `storeIsAwayForAll`: by Duty::isStoreUnreachableForAll().
  bool mayOrder(bool storeIsAwayForAll) const;
  std::vector<Duty::FormerHolder> formerHolders() const;
  /// Gateways of the fleet, for the next record.
  void setMembers(uint32_t members) { State.Members = members; }

  /// Notes for the successors of this VM as the holder.
  std::function<std::string()> MakeNotes;
  /// Called when this VM takes up or loses the duty.
  std::function<void()> OnChange;
  /// Called when the record has been read.
  std::function<void()> OnRead;
  /// Called when a probe was answered or has failed.
  std::function<void(bool answered)> OnStoreCall;

private:
  void step();
  void wake();
  void read();
  void append(Duty::Step step);
  void noteChange();

  const Store &Source;
  Duty::Policy Policy;
  Duty::LeaseState State;
  HttpIo::Timer Wake;
  std::minstd_rand Random;
  bool Held = false;
  bool Probing = false;
  Utils::TimePoint NextProbeAt{};
};

} // namespace Gateway

#endif // GATEWAY_DUTYKEEPER_H
