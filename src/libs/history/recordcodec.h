#ifndef HISTORY_RECORDCODEC_H
#define HISTORY_RECORDCODEC_H

#include "codec/codec.h"
#include "history/records.h"

namespace History::Internal {
/// Throws cereal::Exception when a decoded value is none of the enum's.
template <typename E> void checkLast(E value, E last) {
  if (value > last)
    throw cereal::Exception("unknown value of an enumeration");
}
} // namespace History::Internal

/// cereal functions of the record types; included by the codec's sources only.
namespace Table {
template <class A> void serialize(A &a, RowId &v) {
  a(v.Kind, v.Name);
  History::Internal::checkLast(v.Kind, RowKind::Key);
}
} // namespace Table

namespace History {
template <class A> void serialize(A &a, TableEdit &v) {
  a(v.EditId, v.Actor, v.WallMs, v.Row, v.BaseVersion, v.Deleted, v.Values);
}
template <class A> void serialize(A &a, LeaseChange &v) {
  a(v.ChangeId, v.Action, v.Duty, v.Holder, v.ExpectedFence, v.ExpectedRenewal,
    v.DurationMs);
  Internal::checkLast(v.Action, LeaseAction::Release);
}
template <class A> void serialize(A &a, EndpointChange &v) {
  a(v.ChangeId, v.Fence, v.Endpoint, v.Kind, v.Life, v.Address, v.Port,
    v.FailureDomain, v.MemoryMb, v.ChecksFencing, v.Service);
  Internal::checkLast(v.Kind, EndpointKind::Service);
  Internal::checkLast(v.Life, EndpointLife::Gone);
}
template <class A> void serialize(A &a, ReplicaChange &v) {
  a(v.ChangeId, v.Action, v.Fence, v.Actor, v.ReplicaId, v.Model, v.Endpoint,
    v.MemoryMb, v.Settles);
  Internal::checkLast(v.Action, ReplicaAction::Settled);
}
template <class A> void serialize(A &a, Demand &v) {
  a(v.ChangeId, v.Daemon, v.Model, v.Waiting);
}
template <class A> void serialize(A &a, MemberChange &v) {
  a(v.ChangeId, v.Action, v.Daemon, v.Address, v.PeerPort, v.FailureDomain);
  Internal::checkLast(v.Action, MemberAction::Leave);
}
template <class A> void serialize(A &a, OrderClaim &v) {
  a(v.ClaimId, v.Daemon, v.Team, v.Service, v.KeyHash, v.RequestHash,
    v.ExpiryUnixS);
}
template <class A> void serialize(A &a, OrderOutcome &v) {
  a(v.ClaimId, v.KeyHash, v.Result, v.HttpStatus, v.ContentType, v.Body);
  Internal::checkLast(v.Result, OrderResult::Unknown);
}
template <class A> void serialize(A &a, SnapshotChunk &v) {
  a(v.SnapshotId, v.Upto, v.Index, v.Count, v.Checksum, v.Data);
}
template <class A> void serialize(A &a, OrdersExpired &v) {
  a(v.ChangeId, v.Fence, v.BeforeUnixS);
}
template <class A> void serialize(A &a, OrderBodiesExpired &v) {
  a(v.ChangeId, v.Fence, v.Before);
}
} // namespace History

#endif // HISTORY_RECORDCODEC_H
