#ifndef GATEWAY_DUTYKEEPER_H
#define GATEWAY_DUTYKEEPER_H

#include "duty/duty.h"
#include "gateway/store.h"
#include "httpio/httpio.h"

#include <functional>
#include <random>

namespace Gateway {

/// Claims, renews and releases the lease of the fleet's duty in the platform's
/// store.
class DutyKeeper {
public:
  DutyKeeper(asio::io_context &loop, const Store &store, std::string self,
             std::string address, Utils::Milliseconds reacquirePause,
             bool firstStart);

  void start();
  /// Releases the duty now and never claims it again.
  void release();
  /// A heartbeat carried the holder's record, of that age; the topic ended at
  /// `end` behind it.
  void noteHeartbeat(const Duty::Record &record, uint64_t end,
                     Utils::Milliseconds age);
  /// The store has named this era, higher than the one before: reads the record
  /// again before anything else. The first known era only names that of what
  /// is known.
  void noteStoreEra(const StoreEra::Era &era);
  /// Another gateway has named a token of the duty.
  void noteToken(int64_t token);
  /// The holder with that token continues past the end of its lease.
  void noteActingPastLease(int64_t token);
  /// A store call of another component was answered or has failed.
  void noteStoreCall(bool answered);
  /// Checks whether the store answers, at most once per
  /// Duty::Policy::CallInterval.
  void probe();
  /// An engine has rejected this VM's fencing token in favour of a higher one.
  void noteFenced();
  /// Releases the duty for a VM of greater strength.
  void handOver();
  /// Delay of this VM's claims, so that VMs of greater strength claim first.
  void setClaimDelay(Utils::Milliseconds delay) { State.ClaimDelay = delay; }

  const Duty::LeaseState &lease() const { return State; }
  bool holds() const;
  /// Whether this VM may give orders to engines.
  /// `storeUnreachableForAll`: result of Duty::isStoreUnreachableForAll().
  bool mayOrder(bool storeUnreachableForAll) const;
  std::vector<Duty::FormerHolder> formerHolders() const;
  /// Sets the number of gateways for the next record.
  void setMembers(uint32_t members) { State.Members = members; }

  /// Returns the state that this VM, as the holder, stores for its successors.
  std::function<std::string()> MakeNotes;
  /// Returns addresses of other gateways for the record.
  std::function<std::vector<std::string>()> ListPeers;
  /// Called when this VM acquires or loses the duty.
  std::function<void()> OnChange;
  /// Called after the record has been read.
  std::function<void()> OnRead;
  /// Called when a probe was answered or has failed.
  std::function<void(bool answered)> OnStoreCall;

private:
  void step();
  void scheduleStep();
  void read();
  void append(Duty::Step step);
  void noteChange();

  const Store &Source;
  Duty::Policy Policy;
  Duty::LeaseState State;
  HttpIo::OneShotTimer StepTimer;
  std::minstd_rand Random;
  bool WasHeld = false;
  /// Number of the step's call in flight; answers to earlier ones are dropped.
  uint64_t CallNumber = 0;
  bool Probing = false;
  Utils::TimePoint NextProbeAt{};
};

} // namespace Gateway

#endif // GATEWAY_DUTYKEEPER_H
