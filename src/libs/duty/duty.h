#ifndef DUTY_DUTY_H
#define DUTY_DUTY_H

/// Public header of the duty library: leader election by a lease. The duty is
/// the fleet's leader role: its holder takes the gateways' reports and gives
/// the engines their orders. Pure functions over plain structs decide when a VM
/// may claim, renew and exercise the duty; a conditional append to the
/// platform's store decides between concurrent claims. See Gray and Cheriton,
/// "Leases" (1989).
#include "storeera/storeera.h"
#include "utils/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Duty {

using Utils::Milliseconds;
using Utils::TimePoint;

/// A VM that held the duty before the holder named in the record.
struct FormerHolder {
  std::string Name;
  /// Milliseconds between the end of its term and the writing of the record.
  uint32_t EndedMs = 0;
  bool operator==(const FormerHolder &) const = default;
};

/// Lease record that a claim, renewal or release appends to the store.
struct Record {
  std::string Holder;
  /// IP:PORT at which the holder accepts reports.
  std::string Address;
  /// Fencing token: incremented by every claim and sent with every order.
  int64_t Token = 0;
  /// The holder has released the duty.
  bool Released = false;
  /// Number of gateways in the fleet as counted by the holder; 0: not yet
  /// known.
  uint32_t Members = 0;
  /// Holders whose term ended within Policy::FormerHolderRetention, each once.
  std::vector<FormerHolder> Former{};
  /// Opaque data that the holder passes to its successors.
  std::string Notes{};
  /// Era of the store in which it was written.
  StoreEra::Era InEra{};
  /// IP:PORT of some other gateways of the fleet, which a gateway that starts
  /// can ask if the holder has ended.
  std::vector<std::string> Peers{};
};

struct Policy {
  /// Duration of the lease: nobody claims the duty within this time of a
  /// renewal.
  Milliseconds Lease{2000};
  /// Safety margin: a holder stops acting this long before its lease ends.
  Milliseconds Margin{250};
  /// Time between renewals.
  Milliseconds RenewInterval{600};
  /// A VM reads the record again after this time without a heartbeat of the
  /// holder.
  Milliseconds HolderTimeout{900};
  /// Minimum time between two reads, and between two appends.
  Milliseconds CallInterval{300};
  /// Backoff after a failed call.
  Milliseconds RetryAfter{500};
  /// Cool-down of a recent former holder that holds the duty again: it gives no
  /// order within this time of its claim, since engines that ignore fencing
  /// tokens would otherwise get interleaved orders from it and from the holder
  /// in between. The operators' requirements set the bound.
  Milliseconds ReacquirePause{3000};
  /// How long a VM counts as a former holder: three times ReacquirePause, since
  /// a term may be shorter than that.
  Milliseconds FormerHolderRetention{9000};
  /// A gateway's status is ignored once it is older than this: two report
  /// intervals.
  Milliseconds StatusLifetime{1000};
  /// How long a gateway that no longer reports may still be alive.
  Milliseconds GatewayRetention{10000};
  /// Cool-down of a new holder for which the store was unreachable: it gives no
  /// order within this time of the store's recovery. Its predecessor may act
  /// past its lease until it learns of the recovery, which takes at most
  /// StatusLifetime and one heartbeat.
  Milliseconds OutageCooldown{1250};
  /// Added to the token by a claim that follows a record of an earlier era:
  /// more than can have been claimed in the seconds that a copy of the store
  /// lacks, as each claim needs an append.
  int64_t TokenStepOfEra = 1000;
};

/// What this VM knows about the duty, and its own part in it.
struct LeaseState {
  std::string Self;
  std::string Address;
  /// Number of gateways in the fleet; 0 if this VM does not know it.
  uint32_t Members = 0;
  /// Notes that this VM writes as the holder; a claim keeps those of the
  /// previous record.
  std::string Notes;
  /// Other gateways that this VM writes as the holder.
  std::vector<std::string> Peers;

  /// The newest record; empty if the store has none.
  std::optional<Record> Newest;
  /// Whether the store has been read since the last failed call.
  bool RecordKnown = false;
  /// Highest era of the store that is known.
  StoreEra::Era InEra;
  /// The fleet has run before, or the store has come back from a copy: without
  /// a record, the duty may still have been claimed.
  bool ExpectsRecord = false;
  /// Highest token that is known. The newest record may have a lower one after
  /// the store has come back from an older copy.
  int64_t HighestToken = 0;
  /// Offset behind the newest record in the store's topic.
  uint64_t End = 0;
  /// Upper bound of the time of the last renewal: when this VM first knew End.
  TimePoint RenewedBy{};
  /// When the newest information about the record was current.
  TimePoint ReadAt{};
  /// When this VM last heard from the holder.
  TimePoint HolderHeardAt{};

  /// Fencing token under which this VM holds the duty; 0 if it does not.
  int64_t HeldToken = 0;
  TimePoint HeldUntil{};
  /// End of the newest lease of this process, also of one that it has lost.
  std::optional<TimePoint> ActedUntil;
  /// Earliest times of the next read and the next append.
  TimePoint NextReadAt{};
  TimePoint NextAppendAt{};
  /// A call to the store has not returned yet.
  bool CallInFlight = false;
  /// This VM is shutting down: it releases the duty and claims it no more.
  bool Resigning = false;
  /// This VM releases the duty so that a stronger one takes it.
  bool HandingOver = false;
  /// Delay before a claim, so that stronger VMs claim first.
  Milliseconds ClaimDelay{0};

  /// When this VM learned Newest; the ages in it count from then.
  TimePoint LearnedAt{};
  /// As the holder, this VM gives no order before this time.
  TimePoint OrdersFrom{};
  /// The newest call to the store failed.
  bool StoreUnreachable = false;
  /// When the store answered again after a failure.
  TimePoint StoreRecoveredAt{};
  /// Until then a holder whose lease has expired may still act, and is likely
  /// to renew it.
  TimePoint HolderActiveUntil{};
};

enum class Step : uint8_t { Wait, Read, Claim, Renew, Release };

/// Next action; the caller reports by noteCallSent() that it is carried out.
Step nextStep(const LeaseState &state, const Policy &policy, TimePoint now);

/// When to call nextStep() again if no event arrives before.
TimePoint nextStepAt(const LeaseState &state, const Policy &policy);

/// Records that a call to the store was sent.
void noteCallSent(LeaseState &state, const Policy &policy, Step step,
                  TimePoint now);

/// Former holders named by the newest record, with their ages as of now.
std::vector<FormerHolder> formerHolders(const LeaseState &state,
                                        const Policy &policy, TimePoint now);

/// Record that the step appends.
Record recordFor(const LeaseState &state, const Policy &policy, Step step,
                 TimePoint now);

/// Handles the answer to a read.
void noteRead(LeaseState &state, std::optional<Record> newest, uint64_t end,
              TimePoint now);

/// Handles an accepted claim, renewal or release, sent at `sentAt`; the topic
/// now ends at `end`.
void noteAccepted(LeaseState &state, const Policy &policy, const Record &record,
                  uint64_t end, TimePoint sentAt, TimePoint now);

/// Handles a call that failed or whose outcome is unknown: the record is read
/// again.
void noteFailed(LeaseState &state, const Policy &policy, TimePoint now);

/// Handles a higher era of the store: it has come back from an older copy.
/// Nothing may be appended to, or ordered by, what was known of its record
/// before. A call in flight counts as ended; its answer must be dropped.
void noteStoreEra(LeaseState &state, const StoreEra::Era &era, TimePoint now);

/// Another gateway has named a token. A holder with a lower one loses the duty.
void noteToken(LeaseState &state, int64_t token);

/// Tracks the reachability of the store by the outcome of any call to it.
void noteStoreCall(LeaseState &state, bool answered, TimePoint now);

/// Handles a heartbeat of the holder: the topic ends at `end` and its record is
/// `age` old. The offset counts only if the record is of the known era.
void noteHeartbeat(LeaseState &state, const Record &record, uint64_t end,
                   Milliseconds age, TimePoint now);

/// Handles a heartbeat by which the holder says that it acts past its lease,
/// since the store is unreachable.
void noteActingPastLease(LeaseState &state, const Policy &policy, int64_t token,
                         TimePoint now);

/// Whether this VM holds an unexpired lease.
bool holdsLease(const LeaseState &state, TimePoint now);

/// Whether engines reject an order whose fencing token is lower than one they
/// have seen.
enum class Fencing : uint8_t { Checked, Ignored };

/// What the holder knows about another gateway of the fleet.
struct GatewayStatus {
  /// Lower bound of the time of its report: a VM that was suspended finds old
  /// reports in its receive buffer.
  TimePoint ReportedAt{};
  /// Its newest call to the store failed. A gateway that reported this and
  /// claims the duty later waits before its first order.
  bool StoreUnreachable = false;
  /// It has shut down, or is about to.
  bool Leaving = false;
};

/// Whether nobody can have claimed the duty, since the store is unreachable for
/// the gateways. Where engines check fencing tokens, a majority must report so:
/// a holder among the others does no harm. Otherwise all gateways that may be
/// alive must report so.
/// `fleet`: all known gateways, this one among them; `members`: their number by
/// the newest count.
bool isStoreUnreachableForAll(const std::vector<GatewayStatus> &fleet,
                              uint32_t members, Fencing fencing,
                              const Policy &policy, TimePoint now);

/// Whether this VM may give orders: until its lease expires, and past that
/// while the store is unreachable for all; in both cases not before
/// LeaseState::OrdersFrom.
bool mayOrder(const LeaseState &state, bool storeUnreachableForAll,
              TimePoint now);

} // namespace Duty

#endif // DUTY_DUTY_H
