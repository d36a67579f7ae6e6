#ifndef TESTS_LEASEWORLD_H
#define TESTS_LEASEWORLD_H

#include "history/history.h"
#include "lease/lease.h"
#include "placement/placement.h"

#include <memory>
#include <string>
#include <vector>

namespace LeaseWorld {

/// A record on its way to the log; it may arrive after its sender gave up.
struct Outgoing {
  History::Record Content;
  bool Sent = false;
  bool Appended = false;
  History::Verdict Result;
};

/// An order on its way to the endpoint.
struct OrderOnWay {
  Placement::StepKind Kind = Placement::StepKind::SendLoad;
  std::string ReplicaId;
  std::string Model;
  uint64_t MemoryMb = 0;
  History::Position Fence = 0;
  bool Awaited = true;
};

struct DaemonModel {
  std::string Name;
  /// Length of the prefix of the log that it has folded.
  size_t Read = 0;
  Utils::TimePoint Now;
  double Rate = 1;
  Lease::Watch Watch;
  Placement::Knowledge Knowledge;
  Outgoing LeaseRecord;
  Outgoing DutyRecord;
  std::vector<History::Record> Late;
  /// Checked against the lease, then paused before it is sent.
  std::vector<OrderOnWay> Prepared;
  /// Sent and not yet handled; in order.
  std::vector<OrderOnWay> Channel;
  bool Alive = true;
};

struct EndpointModel {
  bool ChecksFencing = false;
  /// Replica by model.
  std::map<std::string, std::string> Held;
  std::map<std::string, std::string> HeldBefore;
  std::map<std::string, History::Position> Fences;
};

/// Two daemons, one endpoint that holds one model at a time, and the log.
struct World {
  std::vector<std::shared_ptr<const History::State>> Folds;
  uint64_t LogHash = 0;
  DaemonModel Daemons[2];
  EndpointModel Endpoint;
  uint32_t NextId = 1;
  uint32_t Reversals = 0;
  uint32_t EngineDeaths = 0;
  /// Replicas recorded as gone.
  uint32_t Unloads = 0;
};

/// What may happen next.
enum class Act : uint8_t {
  Tick,
  ReadLog,
  StepLease,
  AppendLease,
  AnswerLease,
  AbandonLease,
  StepDuty,
  Decide,
  AppendDuty,
  AnswerDuty,
  AbandonDuty,
  AppendLate,
  SendOrder,
  HandleOrder,
  LoseAnswer,
  ReadReport,
  ReadLaggingReport,
  KillEngine,
  KillDaemon,
  Count
};

World makeWorld(bool checksFencing);

/// Does the act at the daemon; false when it is not possible now.
bool perform(World &world, Act act, int daemon, Utils::Milliseconds tick);

/// The first invariant that is broken, or an empty text.
std::string brokenInvariant(const World &world);

/// Value that is equal for worlds from which the same can happen.
uint64_t fingerprint(const World &world);

} // namespace LeaseWorld

#endif // TESTS_LEASEWORLD_H
