#ifndef HISTORY_APPLYRECORD_H
#define HISTORY_APPLYRECORD_H

#include "history/state.h"

namespace History::Internal {

Verdict applyRecord(State &state, Position at, const SkippedRecord &record);
Verdict applyRecord(State &state, Position at, const TableEdit &record);
Verdict applyRecord(State &state, Position at, const LeaseChange &record);
Verdict applyRecord(State &state, Position at, const EndpointChange &record);
Verdict applyRecord(State &state, Position at, const ReplicaChange &record);
Verdict applyRecord(State &state, Position at, const Demand &record);
Verdict applyRecord(State &state, Position at, const MemberChange &record);
Verdict applyRecord(State &state, Position at, const OrderClaim &record);
Verdict applyRecord(State &state, Position at, const OrderOutcome &record);
Verdict applyRecord(State &state, Position at, const SnapshotChunk &record);
Verdict applyRecord(State &state, Position at, const OrdersExpired &record);
Verdict applyRecord(State &state, Position at,
                    const OrderBodiesExpired &record);

/// Adds the typed view of a row whose cells passed the schema.
void addView(TableState &table, const Table::RowId &id,
             const Table::Cells &cells);

Verdict accepted(Position at);
Verdict rejected(Position at, std::string reason);

/// Appends to the audit trail and forgets the oldest entry beyond its bound.
void audit(State &state, AuditEntry entry);
/// The same for the audit trail of orders.
void auditOrder(State &state, AuditEntry entry);

} // namespace History::Internal

#endif // HISTORY_APPLYRECORD_H
