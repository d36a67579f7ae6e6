#ifndef PLACEMENT_PLACEMENT_H
#define PLACEMENT_PLACEMENT_H

/// Public header of the placement library: which replicas to load and unload.
/// Pure functions over plain structs; the duty holder appends what they decide.
#include "engine/engine.h"
#include "history/history.h"
#include "utils/clock.h"

#include "placement/gaphistogram.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Placement {

struct Knowledge;
struct Policy;

/// How idle replicas are valued; other rules than the default serve as
/// baselines of measurements.
struct Retention {
  /// Until when a replica is worth keeping, in seconds after its last use,
  /// given that it has been idle for `idle` seconds; at most `idle`: not any
  /// longer.
  std::function<double(const Knowledge &, const History::State &,
                       const Policy &, const History::Replica &, double idle)>
      KeepUntil;
  /// Loss by unloading the replica, to compare it with others.
  std::function<double(const Knowledge &, const History::State &,
                       const Policy &, const History::Replica &, double idle)>
      Loss;
};

/// Values replicas by the expected cost of a cold start, from the histogram of
/// the model's idle gaps.
Retention expectedCostRetention();

/// How much one measure counts against another, and the platform's limits.
struct Policy {
  Retention Idle = expectedCostRetention();
  /// Longest time that an idle replica is kept.
  Utils::Milliseconds KeepAlive{3600000};
  /// Cost of holding a whole engine idle for one second.
  double WeightIdle = 1;
  /// Cost of one second that a first request waits for its model.
  double WeightColdStart = 10;
  /// Loads from the weight store at once, and the shortest time between their
  /// starts.
  uint32_t ModelLoadsAtOnce = 4;
  Utils::Milliseconds LoadInterval{286};
  uint32_t AdapterLoadsAtOnce = 30;
  /// Models that room is made or held for before their loads can start: as many
  /// as load at once, so that a load that ends is followed by one that has its
  /// room already.
  uint32_t RoomsAhead = 4;
  /// A model whose replicas each run so many requests gets another.
  uint32_t BusyRequests = 8;
  /// How long a replica beyond the first is kept without requests.
  Utils::Milliseconds ExtraKeepAlive{30000};
  /// Load time of a checkpoint that was not loaded yet.
  Utils::Milliseconds LoadTime{5000};
  /// From an unload order to its end, before one was measured.
  Utils::Milliseconds UnloadTime{200};
  /// How long idle times are not looked at while nothing changes.
  Utils::Milliseconds LookPeriod{1000};
  /// Age from which on a report says nothing of the use of replicas.
  Utils::Milliseconds ReportLifetime{20000};
  /// How long an engine's reports may fail before its models are loaded
  /// elsewhere: longer than a restart of its process or a lost connection, and
  /// two reports that are a second apart.
  Utils::Milliseconds SilentAfter{2000};
  /// An unload that takes longer, and twice as long as expected, is overdue.
  Utils::Milliseconds UnloadPatience{1000};
};

/// How an attempt to send an order ended.
enum class OrderEnd {
  Taken,   ///< The endpoint has taken the order, or had taken it before.
  Gone,    ///< To an unload: the endpoint holds the replica no more.
  Refused, ///< The endpoint has not taken the order.
  NotSent, ///< No byte has left this daemon.
  Unknown, ///< No answer came; the order may have been or be carried out.
};

/// What this daemon knows of the orders it sent for one replica.
struct OrderTrace {
  /// Position of the decision or adoption under which this process may send; 0
  /// when it has to adopt the replica first.
  History::Position Adopted = 0;
  /// Decision of the newest attempt.
  History::Position Decision = 0;
  /// Attempts that wait for a worker or an answer.
  uint32_t InFlight = 0;
  /// An attempt ended without an answer, and the endpoint has answered nothing
  /// that this daemon sent afterwards.
  bool OutcomeUnknown = false;
  bool Taken = false;
  /// The endpoint answered that it holds the replica no more, to an attempt
  /// that began when no other daemon could send orders.
  bool HeldNoMore = false;
  bool SoleSender = false;
  /// No attempt is made before this point.
  Utils::TimePoint RetryAt;
  /// Attempts in a row that the endpoint refused.
  uint32_t Refusals = 0;
};

/// Newest report of an endpoint, and when it was read.
struct SeenReport {
  Engine::Report Content;
  Utils::TimePoint At;
};

/// What the use of one model has been.
struct ModelUse {
  GapHistogram Gaps;
  Utils::TimePoint LastUsed;
  /// Demand that was counted already.
  History::Position DemandSeen = 0;
};

/// First requests that wait for one model, as the daemons report them.
struct Waiting {
  uint32_t Requests = 0;
  Utils::TimePoint EarliestDeadline = Utils::TimePoint::max();
  std::string Team;
};

/// Adds what waits elsewhere for the same model; the team is that of the
/// earliest deadline.
void addWaiting(Waiting &waiting, const Waiting &other);

struct ReplicaUse {
  Utils::TimePoint LastUsed;
  uint64_t Served = 0;
  /// When the report was read that was looked at last, and whether it showed
  /// use.
  Utils::TimePoint SeenAt;
  bool WasInUse = false;
};

struct TeamLoads {
  double Decayed = 0;
  Utils::TimePoint At;
};

/// Bounds of the wait before the unload order of one replica.
struct Drain {
  /// Requests sent before all daemons knew of the decision arrive until then.
  Utils::TimePoint NotBefore;
  /// The order is sent then, though requests still run.
  Utils::TimePoint Until;
  /// When the first order was handed over.
  std::optional<Utils::TimePoint> SentAt;
};

/// What a daemon knows beside the agreed state.
struct Knowledge {
  /// Orders of this daemon by replica id.
  std::map<std::string, OrderTrace> Orders;
  /// Reports by endpoint.
  std::map<std::string, SeenReport> Reports;
  /// Since when no report of an endpoint could be read, by endpoint.
  std::map<std::string, Utils::TimePoint> NoReportSince;
  /// Use by model.
  std::map<std::string, ModelUse> Uses;
  /// Gaps of all models; stands in for a model that is hardly known.
  GapHistogram AllGaps;
  /// When each replica was last seen in use, and its count of requests then.
  std::map<std::string, ReplicaUse> ReplicaUses;
  std::map<std::string, Waiting> WaitingFor;
  /// Models whose replica was lost or has to leave while it was in use.
  std::set<std::string> Replace;
  /// When the newest load from the weight store was decided.
  Utils::TimePoint LastStoreLoad;
  /// Loads decided for each team, halved with every ten minutes.
  std::map<std::string, TeamLoads> Teams;
  /// Load under way and measured load time, by model.
  std::map<std::string, Utils::TimePoint> LoadStarted;
  std::map<std::string, Utils::Milliseconds> LoadTimes;
  /// Models that are loaded from the weight store now.
  std::set<std::string> StoreLoading;
  /// Measured load time by model, from the weight store and from where an
  /// engine kept the checkpoint.
  std::map<std::string, Utils::Milliseconds> StoreLoadTimes;
  std::map<std::string, Utils::Milliseconds> KeptLoadTimes;
  /// How long replicas that are to be unloaded may finish their requests.
  std::map<std::string, Drain> Drains;
  /// Mean from an unload order to its end.
  std::optional<Utils::Milliseconds> UnloadTime;
};

enum class DecisionKind { Load, Unload };

struct Decision {
  DecisionKind Kind = DecisionKind::Load;
  std::string ReplicaId;
  std::string Model;
  std::string Endpoint;
  /// For a load: the engine has to fetch the checkpoint from the weight store.
  bool FromStore = false;
};

/// Notes which models need a new replica because theirs was lost or has to go.
void noteReplacements(Knowledge &knowledge, const History::State &state,
                      const Policy &policy, Utils::TimePoint now);

/// Learns from the reports and the demands which models are in use.
void noteUse(Knowledge &knowledge, const History::State &state,
             Utils::TimePoint now);

/// Notes that a load was decided.
void noteLoadStart(Knowledge &knowledge, const History::State &state,
                   const Decision &decision, Utils::TimePoint now);

/// Notes that the model is ready, which tells its load time.
void noteReady(Knowledge &knowledge, const std::string &model,
               Utils::TimePoint now);

/// Learns from the agreed state which loads began and ended, so that every
/// daemon measures load times.
void noteLoads(Knowledge &knowledge, const History::State &state,
               Utils::TimePoint now);

/// Notes which replicas are to be unloaded since: their orders wait for `grace`
/// at least and for `longest` at most.
void noteDrains(Knowledge &knowledge, const History::State &state,
                Utils::Milliseconds grace, Utils::Milliseconds longest,
                Utils::TimePoint now);

/// Notes that an unload order of the replica is handed over.
void noteUnloadSent(Knowledge &knowledge, const std::string &replicaId,
                    Utils::TimePoint now);

/// Notes that the replica is gone, which tells the time of an unload. An older
/// report of its endpoint holds the replica no more from then on.
void noteGone(Knowledge &knowledge, const std::string &replicaId,
              const History::Replica &replica, Utils::TimePoint now);

/// Whether a load of the replica's model had better wait for the unload of the
/// replica, because its engine keeps the checkpoint. False when the unload is
/// overdue or its outcome unknown, and when a load from the weight store is
/// expected to be clearly faster.
bool isWorthAwaiting(const History::State &state, const Knowledge &knowledge,
                     const Policy &policy, const std::string &replicaId,
                     Utils::TimePoint now);

/// Time until a request for the model could start, in milliseconds; nothing
/// when no engine could hold the model. A load that is overdue is expected to
/// take as long again as it is late, and slows down those that come after it.
std::optional<uint32_t> estimateReadyMs(const History::State &state,
                                        const Knowledge &knowledge,
                                        const Policy &policy,
                                        const std::string &model,
                                        Utils::TimePoint now);

enum class StepKind {
  Adopt,       ///< Record that this daemon may send orders of the replica.
  SendLoad,    ///< Send the load order of the decision in force.
  SendUnload,  ///< Send the unload order of the decision in force.
  RecordReady, ///< Record that the endpoint reports the replica as loaded.
  RecordGone,  ///< Record that the endpoint holds the replica no more.
  Settle,      ///< Record that this daemon can send its orders no more.
};

/// One step that brings a replica towards what was decided.
struct Step {
  StepKind Kind = StepKind::Adopt;
  std::string ReplicaId;
  /// For orders the decision, for Settle the position that it ends.
  History::Position At = 0;
};

/// Steps due at this daemon. `holds` says whether it has the placement duty; a
/// daemon without it only settles what it sent before.
std::vector<Step> nextSteps(const History::State &state,
                            const Knowledge &knowledge, const std::string &self,
                            bool holds, Utils::TimePoint now);

/// Notes that this process may send orders of the replica under the decision or
/// adoption that was accepted at `at`.
void noteAdopted(Knowledge &knowledge, const std::string &replicaId,
                 History::Position at);

/// Notes that a Settled record is about to be appended; it may take effect at
/// any time from now on, so that nothing is sent without a new adoption.
void noteSettling(Knowledge &knowledge, const std::string &replicaId);

/// Notes that an attempt for the replica is handed to a worker.
void beginOrder(Knowledge &knowledge, const History::State &state,
                const std::string &self, const std::string &replicaId);

/// Notes how an attempt ended; the next one is made at `retryAt` at the
/// earliest.
void endOrder(OrderTrace &trace, OrderEnd end, Utils::TimePoint retryAt);

/// Takes a report that was asked for after all ended attempts at the endpoint.
/// The endpoint handles what one daemon sends in the order of arrival, so that
/// no earlier order of this daemon can still take effect.
void takeReport(Knowledge &knowledge, const History::State &state,
                const std::string &endpoint, Engine::Report report,
                Utils::TimePoint now);

/// Notes that a report of the endpoint was asked for and could not be read.
void noteNoReport(Knowledge &knowledge, const std::string &endpoint,
                  Utils::TimePoint now);

/// Forgets the silence of engines that are not live: one that is back is asked
/// anew.
void forgetSilence(Knowledge &knowledge, const History::State &state);

/// Engines that have not answered for Policy::SilentAfter. None when they are
/// more than half of the live ones: then this daemon is likely cut off itself.
std::set<std::string> silentEngines(const History::State &state,
                                    const Knowledge &knowledge,
                                    const Policy &policy, Utils::TimePoint now);

/// Mark of what a round decides by in the state; another mark means a change.
uint64_t changeMark(const History::State &state);

/// Whether the report shows what a round should decide on at once. Use of
/// replicas does not; a round looks at it in Policy::LookPeriod.
bool isNews(const Knowledge &knowledge, const History::State &state,
            const Policy &policy, const std::string &endpoint,
            const Engine::Report &report);

/// When the next round is due though nothing changes.
Utils::TimePoint nextDue(const History::State &state,
                         const Knowledge &knowledge, const Policy &policy,
                         Utils::TimePoint now);

/// Decisions for one round, in the order in which they should be appended.
std::vector<Decision> planRound(const History::State &state,
                                const Knowledge &knowledge,
                                const Policy &policy, Utils::TimePoint now);

} // namespace Placement

#endif // PLACEMENT_PLACEMENT_H
