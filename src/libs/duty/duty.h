#ifndef DUTY_DUTY_H
#define DUTY_DUTY_H

/// Public header of the duty library: when a VM may claim, renew and perform
/// the one duty of the fleet. Pure functions over plain structs; a conditional
/// append to the platform's store decides between racing claims. Source of the
/// idea: Gray and Cheriton, "Leases" (1989).
#include "utils/clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Duty {

using Utils::Milliseconds;
using Utils::TimePoint;

/// What a claim or a renewal writes to the store.
struct Record {
  std::string Holder;
  /// IP:PORT where the holder takes reports.
  std::string Address;
  /// Grows with every claim; orders carry it.
  int64_t Token = 0;
  /// The holder has given the duty up.
  bool Released = false;
  /// Gateways of the fleet as the holder counted them; 0: not yet known.
  uint32_t Members = 0;
};

struct Policy {
  /// Nobody claims the duty within this time of a renewal.
  Milliseconds Lease{2000};
  /// A holder stops acting this long before the lease ends.
  Milliseconds Margin{250};
  /// Time between renewals.
  Milliseconds RenewEvery{600};
  /// A record is read again when nothing was heard of the holder for so long.
  Milliseconds HolderSilence{900};
  /// Pause between two reads and between two appends, and after a call that
  /// failed.
  Milliseconds CallEvery{300};
  Milliseconds RetryAfter{500};
};

/// What this VM knows of the duty.
struct Watch {
  std::string Self;
  std::string Address;
  /// Gateways of the fleet, as this VM knows; 0 if it does not.
  uint32_t Members = 0;

  /// The newest record; none if the store holds none.
  std::optional<Record> Newest;
  /// Whether the store has been read, and its end behind the newest record.
  bool Known = false;
  uint64_t End = 0;
  /// When this VM first knew of that end; the renewal was no later.
  TimePoint RenewedBy{};
  /// Age of the newest word on the record: when its read was sent.
  TimePoint ReadAt{};
  /// When the holder was last heard of.
  TimePoint HeardAt{};

  /// Token under which this VM holds the duty; 0 if it does not.
  int64_t HeldToken = 0;
  TimePoint HeldUntil{};
  /// Nothing is read, or appended, before these points.
  TimePoint NextReadAt{};
  TimePoint NextAppendAt{};
  /// A call to the store is under way.
  bool Calling = false;
  /// This VM seeks the duty no more.
  bool GivingUp = false;
  /// This VM hands the duty to a stronger one.
  bool HandingOver = false;
  /// Time that it leaves stronger VMs for a claim.
  Milliseconds ClaimDelay{0};
};

enum class Step : uint8_t { Wait, Read, Claim, Renew, Release };

/// What to do now. The caller notes it by begin().
Step nextStep(const Watch &watch, const Policy &policy, TimePoint now);

/// When nextStep() may say something else though nothing is heard.
TimePoint nextStepAt(const Watch &watch, const Policy &policy);

/// Notes that a call to the store is sent.
void begin(Watch &watch, const Policy &policy, Step step, TimePoint now);

/// The record to append for a step.
Record recordFor(const Watch &watch, Step step);

/// The store was read.
void noteRead(Watch &watch, std::optional<Record> newest, uint64_t end,
              TimePoint sentAt);

/// A claim, renewal or release that was sent at `sentAt` was accepted; the
/// topic ends at `end` now.
void noteAccepted(Watch &watch, const Policy &policy, const Record &record,
                  uint64_t end, TimePoint sentAt);

/// The call failed, or what it did is not known: the record is read again.
void noteFailed(Watch &watch, const Policy &policy, TimePoint now);

/// The holder says that its record ends at `end` and is `age` old.
void noteHeard(Watch &watch, const Record &record, uint64_t end,
               Milliseconds age, TimePoint now);

/// Whether the lease of this VM lasts.
bool holds(const Watch &watch, TimePoint now);

} // namespace Duty

#endif // DUTY_DUTY_H
