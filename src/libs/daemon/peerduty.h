#ifndef DAEMON_PEERDUTY_H
#define DAEMON_PEERDUTY_H

#include "daemon/context.h"
#include "frontdoor/frontdoor.h"

#include <map>

namespace Daemon::Internal {

/// Makes the node, the log contact and the log with peers as second source,
/// which only the follower reads; all others read the log itself.
/// Called before anything that follows the log is made.
void connectPeers(Context &context);

/// Whether, and why, the daemon may admit by its state now.
Currency currencyOf(Context &context);

/// The duty's lease in the state if, by that very state, the log is unavailable
/// to all within the window; nothing when it is not.
std::optional<History::Lease> leaseDuringOutage(Context &context,
                                                const std::string &duty,
                                                Utils::Milliseconds window);

/// Refusal of a keyed route while the daemon is not current.
std::optional<FrontDoor::Refusal> refuseUnlessCurrent(Context &context);

/// Thread that keeps this daemon's place among the others: joins on the log,
/// exchanges members, and records the leave of daemons that are gone.
class PeerDuty {
public:
  explicit PeerDuty(Context &context);
  ~PeerDuty();

  void start();
  /// Ends the thread and records the planned leave.
  void stop();

private:
  void round();
  void join();
  void exchange();
  /// Records the leave of members that were silent for long.
  void buryLost();
  bool isEldest() const;
  std::vector<std::pair<std::string, History::Position>> silentMembers() const;
  bool append(History::MemberChange change);

  Context &Shared;
  /// From then on a join whose outcome is not known is recorded again.
  Utils::TimePoint JoinAgainAt;
  bool Joined = false;
  Utils::TimePoint NextExchange;
  /// Since when a member of the state does not speak.
  std::map<std::string, Utils::TimePoint> SilentSince;
  Utils::PeriodicThread Rounds;
  /// Apart from the rounds, which may wait for peers or the log.
  Utils::PeriodicThread Awake;
};

} // namespace Daemon::Internal

#endif // DAEMON_PEERDUTY_H
