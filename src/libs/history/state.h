#ifndef HISTORY_STATE_H
#define HISTORY_STATE_H

#include "history/records.h"

#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace History {

/// What the fold decided on one record.
struct Verdict {
  bool Accepted = false;
  std::string Reason;
  Position At = 0;
  /// For table edits: the version of the row after the record.
  uint64_t WinningVersion = 0;
};

struct TableRow {
  uint64_t Version = 0;
  Table::Cells Values;
};

/// The table, with the typed views that admission and routing read.
struct TableState {
  std::map<Table::RowId, TableRow> Rows;
  std::map<std::string, Table::ModelSpec> Models;
  std::map<std::string, Table::AdapterSpec> Adapters;
  std::map<std::string, Table::ServiceSpec> Services;
  std::map<std::string, Table::TeamSpec> Teams;
  /// Team by key hash.
  std::unordered_map<std::string, std::string> KeyTeams;
};

struct Lease {
  /// Empty when released.
  std::string Holder;
  Position Fence = 0;
  Position Renewal = 0;
  uint32_t DurationMs = 0;
  /// Every daemon that may act on the duty has applied this position.
  Position Known = 0;
  /// Daemons that may act on the duty, with their last claim or renewal: the
  /// holder and, until it has said that it acts, those whose lease has lapsed.
  std::map<std::string, Position> Actors;
};

struct Endpoint {
  EndpointKind Kind = EndpointKind::Engine;
  EndpointLife Life = EndpointLife::Live;
  std::string Address;
  uint16_t Port = 0;
  std::string FailureDomain;
  uint64_t MemoryMb = 0;
  uint64_t ChargedMb = 0;
  bool ChecksFencing = false;
  std::string Service;
};

enum class ReplicaPhase : uint8_t { Loading, Ready, Unloading };

std::string_view replicaPhaseName(ReplicaPhase phase);

struct Replica {
  std::string Model;
  std::string Endpoint;
  uint64_t MemoryMb = 0;
  ReplicaPhase Phase = ReplicaPhase::Loading;
  /// Position of the decision in force; the fencing number of its order.
  Position Decision = 0;
  /// Daemon that sends the order.
  std::string Actor;
  /// Daemons that may still send orders of this replica, each with the position
  /// of its decision or adoption.
  std::map<std::string, Position> Senders;
};

struct Member {
  std::string Address;
  uint16_t PeerPort = 0;
  std::string FailureDomain;
  Position Joined = 0;
};

struct Order {
  std::string ClaimId;
  std::string Daemon;
  std::string RequestHash;
  int64_t ExpiryUnixS = 0;
  Position Claimed = 0;
  bool Settled = false;
  OrderResult Result = OrderResult::Unknown;
  uint16_t HttpStatus = 0;
  std::string ContentType;
  std::string Body;
  /// The body was kept once and is kept no more.
  bool BodyDropped = false;
};

/// One line of the audit trail.
struct AuditEntry {
  Position At = 0;
  int64_t WallMs = 0;
  std::string Actor;
  std::string What;
  std::string Before;
  std::string After;
  bool Accepted = false;
  std::string Reason;
};

/// The state all daemons agree on. Two daemons that applied the same records
/// hold equal states.
struct State {
  /// Position of the last record applied.
  Position Applied = 0;
  /// Offset of the next append to read.
  uint64_t NextOffset = 0;
  TableState Table;
  std::map<std::string, Lease> Leases;
  std::map<std::string, Endpoint> Endpoints;
  std::map<std::string, Replica> Replicas;
  std::map<std::string, Member> Members;
  std::map<std::string, Order> Orders;
  /// Position of the newest demand by model.
  std::map<std::string, Position> Demands;
  std::deque<AuditEntry> Audit;
  /// Audit of orders, apart so that they never push out the other entries.
  std::deque<AuditEntry> OrderAudit;
  /// Verdicts by record id, forgotten in the order of VerdictOrder.
  std::unordered_map<std::string, Verdict> Verdicts;
  std::deque<std::string> VerdictOrder;
  uint64_t SkippedRecords = 0;
};

/// Applies one record. Depends on nothing but its arguments. A record whose id
/// has a verdict already changes nothing and yields that verdict.
Verdict apply(State &state, Position position, const Record &record);

/// Applies all records of one append and moves NextOffset behind it.
void applyAppend(State &state, uint64_t offset, std::string_view bytes);

/// Memory that a replica of the model or adapter is charged, in MB; 0 when the
/// table has no such row.
uint64_t replicaMemoryMb(const TableState &table, const std::string &model);

/// Whether the model has a replica that loads or is ready on a live endpoint.
bool isServedOrLoading(const State &state, const std::string &model);

/// Notes that a daemon has stopped for good and can send no order any more.
void settleSender(State &state, const std::string &daemon);

/// Current fence of the duty; 0 when nobody holds it.
Position fenceOf(const State &state, const std::string &duty);

} // namespace History

#endif // HISTORY_STATE_H
