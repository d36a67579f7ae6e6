#ifndef DAEMON_LIMITSHOLDER_H
#define DAEMON_LIMITSHOLDER_H

#include "limits/limits.h"
#include "peers/rpc.h"
#include "utils/utils.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace Daemon::Internal {

/// Who holds the limits duty, as this daemon knows.
struct LimitsLead {
  /// Name of the holder; empty when there is none.
  std::string Holder;
  uint64_t Fence = 0;
  /// This daemon is the holder and may act now.
  bool Self = false;
  /// Lease that this daemon's own claim replaced, and who held it if known.
  uint64_t ReplacedFence = 0;
  std::string ReplacedHolder;
  /// The holder has said under this fence that it acts.
  bool IsActing = false;
  /// The log names this daemon; others take no tokens.
  bool IsMember = true;
};

/// What the limits duty needs of the rest of the daemon.
struct LimitsPorts {
  std::string Name;
  Utils::Clock Clock;
  Peers::Rpc Rpc;
  Limits::Policy Policy;
  std::function<LimitsLead()> Lead;
  std::function<std::map<std::string, Limits::Limit>()> Teams;
  /// Daemons that may hold tokens of earlier holders; may be empty.
  std::function<std::set<std::string>()> Members;
};

/// Holder's side of the limits duty: answers other daemons' requests for tokens
/// and calls tokens back that one daemon needs and others hold. Thread-safe.
class LimitsHolder {
public:
  /// Registers the methods `limits.grant`, `limits.handover` and
  /// `limits.handover_taken`.
  explicit LimitsHolder(LimitsPorts ports);
  ~LimitsHolder();

  void start();
  /// Ends granting. With `handOver`, keeps the final state for the successor.
  void end(bool handOver);
  /// Waits until the successor has said that the final state has arrived: an
  /// answer under way would be lost with the process.
  bool waitUntilTaken(Utils::TimePoint deadline);
  /// Ends the thread.
  void stop();

  /// Takes up or drops the duty and applies the limits of the table.
  void step();
  /// Answers a request; not holding the duty is said in the answer.
  Limits::GrantReply grant(const Limits::GrantRequest &request);

private:
  struct Ended {
    uint64_t Fence = 0;
    Limits::Handover State;
    std::string FetchedBy;
    bool Taken = false;
  };

  void watchMembers(const LimitsLead &lead);
  std::optional<std::set<std::string>>
  withOldTokens(const LimitsLead &lead) const;
  void takeUp(const LimitsLead &lead);
  std::optional<Limits::Handover> fetch(const LimitsLead &lead);
  Utils::Outcome<std::string> handOver(const std::string &daemon,
                                       std::string_view payload);
  Utils::Outcome<std::string> noteTaken(const std::string &daemon,
                                        std::string_view payload);
  /// Logs once, with the cause, that the buckets begin to fill.
  void noteOpening(Utils::TimePoint now);
  void callBackLater(const Limits::GrantReply &reply);
  void runCallBacks();
  void callBack(const std::string &team);

  LimitsPorts Ports;
  std::mutex Mutex;
  std::condition_variable Taken;
  std::optional<Limits::Holder> Duty;
  std::optional<Ended> Last;
  bool Opened = false;
  bool Over = false;
  /// The rest is used by the thread that steps only. When each daemon was last
  /// among the members, and since when this process has looked.
  std::map<std::string, Utils::TimePoint> LastMember;
  Utils::TimePoint WatchedSince;
  /// Has looked for so long that no former member is missing.
  bool KnowsFormerMembers = false;
  /// Fence whose holder has said that it acts, and since when it is known.
  uint64_t ActingFence = 0;
  Utils::TimePoint ActingSince;
  Utils::BlockingQueue<std::string> CallBacks;
  std::thread Thread;
};

} // namespace Daemon::Internal

#endif // DAEMON_LIMITSHOLDER_H
