#ifndef QUOTA_GATEWAYLIMITER_H
#define QUOTA_GATEWAYLIMITER_H

#include "quota/tokenallocator.h"

#include <deque>
#include <optional>
#include <random>
#include <vector>

namespace Quota {

/// The duty holder's answer to a gateway's report, for one team.
struct HolderAnswer {
  double Level = 0;
  /// Demand at all gateways together, in tokens per second.
  double Demand = 0;
  int64_t Granted = 0;
  /// Retry delays of the listed calls that are rejected.
  std::vector<CallDelay> Delays{};
  /// Length of the team's virtual queue.
  uint32_t QueueLength = 0;
};

/// What the virtual queue needs to know of a call.
struct QueueTicket {
  /// Hash of what stays the same when the caller repeats the call; 0 if the
  /// call takes no part in a virtual queue.
  uint64_t Hash = 0;
  /// Longest retry delay after which the caller is expected to return.
  Milliseconds Patience{0};
};

/// Whether a call is admitted; a rejected call is told when to retry.
struct Decision {
  uint64_t Call = 0;
  std::optional<Milliseconds> RetryAfter;
  /// Length of the team's virtual queue; set if the holder has rejected the
  /// call with the time of its place there.
  std::optional<uint32_t> QueueLength{};
  bool isAdmitted() const { return !RetryAfter; }
};

/// Enforces the limit of one team at one gateway.
class GatewayLimiter {
public:
  /// How long a call waits for the holder's answer. A round trip takes 2 to
  /// 6 ms, a busy holder may take some 20 ms more to compute a placement plan,
  /// and one message may be lost.
  static constexpr Milliseconds HolderTimeout{100};
  /// The same for a process that has never heard from a holder: when the whole
  /// fleet starts at once, a gateway claims the duty within some 100 ms.
  static constexpr Milliseconds FirstHolderTimeout{300};
  /// Maximum number of calls that a message lists; the next one lists the rest.
  /// 28 bytes each; several teams must fit into one datagram.
  static constexpr size_t MaxListedCalls = 100;

  /// `level`: best known level of the team's bucket. Without a holder, this
  /// gateway uses 1/`gateways` of the level and of the rate.
  GatewayLimiter(const Limit &limit, double level, uint32_t gateways,
                 TimePoint now);

  void setLimit(const Limit &limit, TimePoint now);
  void setGatewayCount(uint32_t gateways, TimePoint now);

  /// Requests tokens for a call. Returns nothing if the call has to wait:
  /// applyAnswer() or expireWaiting() decides it then. `hasHolder`: a duty
  /// holder is answering.
  std::optional<Decision> acquire(uint64_t call, double tokens, bool hasHolder,
                                  TimePoint now, std::mt19937_64 &random,
                                  const QueueTicket &ticket = {});
  /// Calls to list in the report that prepareReport() has just prepared.
  std::vector<QueuedCall> queuedCalls() const;
  /// Removes a waiting call that needs no tokens any more.
  void cancel(uint64_t call);
  /// Ignores grants that answer reports before `sequence`: reports from that
  /// number on go to another holder.
  void ignoreGrantsBefore(uint64_t sequence) { MinGrantSequence = sequence; }
  /// Returns the tokens of an admitted call that did not run.
  void refund(double tokens);

  /// Counters to send in the report numbered `sequence`. Gives up granted
  /// tokens that are not requested.
  TokenCounters prepareReport(uint64_t sequence);
  const TokenCounters &counters() const { return Counters; }
  bool hasWaitingCalls() const { return !Waiting.empty(); }
  /// Whether calls wait whose tokens no report has requested yet.
  bool hasUnrequestedCalls() const;
  /// Applies the answer to the report numbered `sequence` and decides the calls
  /// whose tokens that report requested.
  std::vector<Decision> applyAnswer(const HolderAnswer &answer,
                                    uint64_t sequence, TimePoint now);
  /// Decides waiting calls whose timeout has passed, from this gateway's own
  /// share.
  std::vector<Decision> expireWaiting(TimePoint now, std::mt19937_64 &random);
  /// Level of the team's bucket: that of the newest answer plus the refill
  /// since; nothing if there was no answer yet.
  std::optional<double> estimatedLevel(TimePoint now);

private:
  struct WaitingCall {
    uint64_t Call = 0;
    int64_t Tokens = 0;
    TimePoint Deadline{};
    /// Number of the first report that requested its tokens; 0 if none yet.
    uint64_t RequestedIn = 0;
    QueueTicket Ticket{};
  };
  bool isLimited() const { return CurrentLimit.Rate > 0; }
  void resetShare(double level, TimePoint now);
  void updateCounters();
  void spend(int64_t tokens);
  Decision decideLocally(uint64_t call, int64_t tokens, TimePoint now,
                         std::mt19937_64 &random);
  double admitProbability(double tokens, TimePoint now);
  double estimatedDemand(double seconds) const;
  bool hasAnswer() const { return AnsweredAt != TimePoint{}; }
  Milliseconds retryAfter(double level, int64_t tokens) const;

  Limit CurrentLimit;
  uint32_t GatewayCount;
  /// The team's bucket according to the holder's newest answer.
  TokenBucket FleetBucket;
  double FleetDemand = 0;
  /// Time of the newest answer; the epoch if there was none.
  TimePoint AnsweredAt{};
  double AnsweredLevel = 0;
  /// Moving average of the tokens per call.
  double MeanCallTokens = 0;
  /// Tokens of calls decided without the holder since the newest answer.
  double LocalDemand = 0;
  /// This gateway's share of the limit, used without a holder.
  TokenBucket ShareBucket;
  TokenCounters Counters;
  int64_t LastRequested = 0;
  /// Grants that answer earlier reports are ignored: they include tokens that
  /// were given up since.
  uint64_t MinGrantSequence = 0;
  std::deque<WaitingCall> Waiting;
};

} // namespace Quota

#endif // QUOTA_GATEWAYLIMITER_H
