#ifndef GATEWAY_CRASHEVIDENCE_H
#define GATEWAY_CRASHEVIDENCE_H

#include "fleetlink/fleetlink.h"
#include "gateway/answertimes.h"
#include "quarantine/quarantine.h"

#include <deque>
#include <optional>
#include <vector>

namespace Gateway {

Quarantine::Crash toCrash(const FleetLink::EndpointCrash &crash, TimePoint now);
std::vector<FleetLink::QuarantinedParts>
toLink(const std::vector<Quarantine::Entry> &entries, TimePoint now);
std::vector<Quarantine::Entry>
fromLink(const std::vector<FleetLink::QuarantinedParts> &entries,
         TimePoint now);

/// What a gateway knows about prompt parts and requests that crash endpoints:
/// the crashes and answers that it has seen, which it reports to the holder of
/// the fleet's duty, and the quarantines that the holder has decided. Keeps
/// both when the holder changes, so that the next one starts from them, and
/// decides by its own evidence while there is none. Does no input or output.
class CrashEvidence {
public:
  /// `hasHolder`: a holder takes this gateway's reports.
  void addCrash(const Quarantine::Crash &crash, bool hasHolder, TimePoint now);
  /// A call with these parts was answered; the answer began then.
  void addAnswer(const Quarantine::Parts &parts, TimePoint beganAt);
  std::optional<TimePoint> quarantinedUntil(const Quarantine::Parts &parts,
                                            TimePoint now) const;
  const std::vector<Quarantine::Entry> &quarantines() const { return Entries; }
  /// Whether the part may be quarantined, has been before, or was at a crash
  /// that this gateway saw and has not been answered since.
  bool isSuspected(Quarantine::Part part, TimePoint now) const;

  /// Adds what the holder with that token has not acknowledged.
  void addTo(FleetLink::Report &report, int64_t holderToken, TimePoint now);
  /// Returns whether the quarantines have changed.
  bool apply(const FleetLink::Heartbeat &heartbeat, TimePoint now);

private:
  struct OwnCrash {
    Quarantine::Crash Seen;
    /// First report to the present holder that lists it; 0 if none has yet.
    uint64_t SentSequence = 0;
  };

  void decideAlone(TimePoint now);

  /// Not acknowledged by the present holder first.
  std::deque<OwnCrash> Crashes;
  AnswerTimes Answers;
  /// Parts about whose answers the holder asks.
  Quarantine::Parts Watched;
  std::vector<Quarantine::Entry> Entries;
  /// Decides while there is no holder.
  Quarantine::CrashLedger Alone;

  int64_t HolderToken = 0;
  /// First report to the present holder that lists Entries; 0 if none has yet.
  uint64_t EntriesSentSequence = 0;
  /// Newest sequence that the present holder has acknowledged.
  uint64_t AckedSequence = 0;
};

} // namespace Gateway

#endif // GATEWAY_CRASHEVIDENCE_H
