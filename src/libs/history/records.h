#ifndef HISTORY_RECORDS_H
#define HISTORY_RECORDS_H

#include "table/table.h"
#include "utils/outcome.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace History {

/// Place of a record in the log: the offset of its append times
/// MaxRecordsPerAppend plus its index in the append. Positions grow strictly
/// and serve as row versions and fencing numbers. 0 is before every record.
using Position = uint64_t;

inline constexpr uint64_t MaxRecordsPerAppend = 1024;

inline Position positionOf(uint64_t offset, size_t index) {
  return (offset + 1) * MaxRecordsPerAppend + index;
}
inline uint64_t offsetOf(Position position) {
  return position / MaxRecordsPerAppend - 1;
}

/// An operator's change of one row. Accepted when BaseVersion is the row's
/// version (0: no such row) and the cells pass the schema.
struct TableEdit {
  std::string EditId;
  std::string Actor;
  int64_t WallMs = 0;
  Table::RowId Row;
  uint64_t BaseVersion = 0;
  bool Deleted = false;
  Table::Cells Values;
};

enum class LeaseAction : uint8_t { Claim, Renew, Release };

/// A step of a duty's lease. A claim names the fence and the renewal it was
/// decided on and is rejected when either has moved since.
struct LeaseChange {
  std::string ChangeId;
  LeaseAction Action = LeaseAction::Claim;
  std::string Duty;
  std::string Holder;
  Position ExpectedFence = 0;
  /// In a renewal: a position that the holder has applied, if it acts.
  Position ExpectedRenewal = 0;
  uint32_t DurationMs = 0;
};

/// How VMs are listed by the platform.
enum class EndpointKind : uint8_t { Engine, Service };
enum class EndpointLife : uint8_t { Live, Leaving, Gone };

std::string_view endpointLifeName(EndpointLife life);

/// Endpoint as the duty holder saw it on the VM list. Requires the current
/// fence of the duty `placement`.
struct EndpointChange {
  std::string ChangeId;
  Position Fence = 0;
  std::string Endpoint;
  EndpointKind Kind = EndpointKind::Engine;
  EndpointLife Life = EndpointLife::Live;
  std::string Address;
  uint16_t Port = 0;
  std::string FailureDomain;
  uint64_t MemoryMb = 0;
  /// Whether the endpoint refuses an order with an older fencing number.
  bool ChecksFencing = false;
  /// For service endpoints: the service row that they serve.
  std::string Service;
};

enum class ReplicaAction : uint8_t {
  DecideLoad,   ///< Charges the memory; the load order may be sent afterwards.
  Ready,        ///< The endpoint reports the replica as loaded.
  DecideUnload, ///< The unload order may be sent afterwards.
  Gone,         ///< The endpoint has answered that it holds it no more.
  Adopt,        ///< The actor may send orders of the replica from here on.
  Settled,      ///< The actor can send none of the orders it adopted any more.
};

/// A step in the life of a replica (a model or adapter on an endpoint).
/// All but Settled require the current fence of the duty `placement`.
struct ReplicaChange {
  std::string ChangeId;
  ReplicaAction Action = ReplicaAction::DecideLoad;
  Position Fence = 0;
  std::string Actor;
  std::string ReplicaId;
  std::string Model;
  std::string Endpoint;
  uint64_t MemoryMb = 0;
  /// Settled: position of the decision or adoption that it ends, so that a
  /// late copy cannot end a newer one.
  Position Settles = 0;
};

/// First requests wait for a model that has no replica.
struct Demand {
  std::string ChangeId;
  std::string Daemon;
  std::string Model;
  uint32_t Waiting = 0;
};

enum class MemberAction : uint8_t { Join, Leave };

/// A daemon starts, or has stopped for good.
struct MemberChange {
  std::string ChangeId;
  MemberAction Action = MemberAction::Join;
  std::string Daemon;
  std::string Address;
  uint16_t PeerPort = 0;
  std::string FailureDomain;
};

/// Claim of the only run of a non-idempotent call. The first claim of a key
/// wins; it is recorded before anything is sent to an endpoint.
struct OrderClaim {
  std::string ClaimId;
  std::string Daemon;
  std::string Team;
  std::string Service;
  /// Hash over team, service and idempotency key.
  std::string KeyHash;
  /// Hash over method, path and body; a retry must match it.
  std::string RequestHash;
  /// Expiry that the key itself carries, Unix seconds; 0 when it carries none.
  int64_t ExpiryUnixS = 0;
};

enum class OrderResult : uint8_t { Ran, NotRun, Unknown };

std::string_view orderResultName(OrderResult result);

/// Outcome of a claimed call, replayed to every retry.
struct OrderOutcome {
  std::string ClaimId;
  std::string KeyHash;
  OrderResult Result = OrderResult::Unknown;
  uint16_t HttpStatus = 0;
  std::string ContentType;
  std::string Body;
};

/// One part of a snapshot of the state up to and including Upto.
struct SnapshotChunk {
  std::string SnapshotId;
  Position Upto = 0;
  uint32_t Index = 0;
  uint32_t Count = 0;
  /// fastHash() over the whole snapshot.
  uint64_t Checksum = 0;
  std::string Data;
};

/// Forgets the settled orders whose key expired before the point in time.
/// Requires the current fence of the duty `snapshot`.
struct OrdersExpired {
  std::string ChangeId;
  Position Fence = 0;
  int64_t BeforeUnixS = 0;
};

/// Drops the kept bodies of settled orders claimed before the position whose
/// key carries no expiry; the keys stay. Requires the current fence of the duty
/// `snapshot`.
struct OrderBodiesExpired {
  std::string ChangeId;
  Position Fence = 0;
  Position Before = 0;
};

/// A record whose type this version does not know, or whose payload is
/// malformed; it changes nothing but is counted and audited.
struct SkippedRecord {
  uint16_t Type = 0;
  std::string Why;
};

/// All records. New types go to the end: the index is the type on the log.
using Record =
    std::variant<SkippedRecord, TableEdit, LeaseChange, EndpointChange,
                 ReplicaChange, Demand, MemberChange, OrderClaim, OrderOutcome,
                 SnapshotChunk, OrdersExpired, OrderBodiesExpired>;

/// Encodes records that share one append. At most MaxRecordsPerAppend.
std::string encodeRecords(const std::vector<Record> &records);

/// Decodes one append. Never fails: what cannot be read comes back as
/// SkippedRecord, so that a bad record stops no daemon.
std::vector<Record> decodeRecords(std::string_view bytes);

/// Id under which the verdict on the record is kept; empty when it has none.
std::string recordId(const Record &record);

/// Short name of the record's type for logs and the audit trail.
std::string_view recordName(const Record &record);

} // namespace History

#endif // HISTORY_RECORDS_H
