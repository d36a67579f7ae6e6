#include "history/state.h"
#include "history/applyrecord.h"
#include "history/historyconstants.h"

#include <array>

namespace History {

namespace Internal {

Verdict accepted(Position at) { return {true, "", at, 0}; }

Verdict rejected(Position at, std::string reason) {
  return {false, std::move(reason), at, 0};
}

void audit(State &state, AuditEntry entry) {
  state.Audit.push_back(std::move(entry));
  if (state.Audit.size() > Constants::MaxAuditEntries)
    state.Audit.pop_front();
}

void auditOrder(State &state, AuditEntry entry) {
  state.OrderAudit.push_back(std::move(entry));
  if (state.OrderAudit.size() > Constants::MaxOrderAuditEntries)
    state.OrderAudit.pop_front();
}

Verdict applyRecord(State &state, Position at, const SkippedRecord &record) {
  ++state.SkippedRecords;
  audit(state, {at, 0, "", "skipped record type " + std::to_string(record.Type),
                "", "", false, record.Why});
  return rejected(at, record.Why);
}

Verdict applyRecord(State & /*state*/, Position at,
                    const SnapshotChunk & /*record*/) {
  return accepted(at);
}

Verdict applyRecord(State &state, Position at, const Demand &record) {
  if (!replicaMemoryMb(state.Table, record.Model))
    return rejected(at, "no such model");
  if (isServedOrLoading(state, record.Model))
    return rejected(at, "the model has a replica");
  state.Demands[record.Model] = at;
  return accepted(at);
}

Verdict applyRecord(State &state, Position at, const MemberChange &record) {
  bool known = state.Members.count(record.Daemon) != 0;
  AuditEntry entry{at,
                   0,
                   record.Daemon,
                   "member " + record.Daemon,
                   known ? "joined" : "",
                   "",
                   true,
                   ""};
  if (record.Action == MemberAction::Join) {
    state.Members[record.Daemon] = {record.Address, record.PeerPort,
                                    record.FailureDomain, at};
    entry.After = "joined";
  } else {
    state.Members.erase(record.Daemon);
    settleSender(state, record.Daemon);
    entry.After = "left";
  }
  audit(state, std::move(entry));
  return accepted(at);
}

} // namespace Internal

namespace {

constexpr std::array<std::string_view, 3> PhaseNames = {"loading", "ready",
                                                        "unloading"};

void rememberVerdict(State &state, const std::string &id,
                     const Verdict &verdict) {
  state.Verdicts.emplace(id, verdict);
  state.VerdictOrder.push_back(id);
  if (state.VerdictOrder.size() <= Constants::MaxVerdicts)
    return;
  state.Verdicts.erase(state.VerdictOrder.front());
  state.VerdictOrder.pop_front();
}

} // namespace

std::string_view replicaPhaseName(ReplicaPhase phase) {
  return PhaseNames[static_cast<size_t>(phase)];
}

Verdict apply(State &state, Position position, const Record &record) {
  state.Applied = position;
  std::string id = recordId(record);
  if (auto it = state.Verdicts.find(id);
      !id.empty() && it != state.Verdicts.end())
    return it->second;
  Verdict verdict = std::visit(
      [&](const auto &it) {
        return Internal::applyRecord(state, position, it);
      },
      record);
  if (!id.empty())
    rememberVerdict(state, id, verdict);
  return verdict;
}

void applyAppend(State &state, uint64_t offset, std::string_view bytes) {
  std::vector<Record> records = decodeRecords(bytes);
  for (size_t i = 0; i < records.size(); ++i)
    apply(state, positionOf(offset, i), records[i]);
  state.NextOffset = offset + 1;
}

uint64_t replicaMemoryMb(const TableState &table, const std::string &model) {
  if (auto it = table.Models.find(model); it != table.Models.end())
    return it->second.MemoryMb + it->second.KvCacheMb;
  if (auto it = table.Adapters.find(model); it != table.Adapters.end())
    return it->second.MemoryMb;
  return 0;
}

Position fenceOf(const State &state, const std::string &duty) {
  auto it = state.Leases.find(duty);
  return it == state.Leases.end() || it->second.Holder.empty()
             ? 0
             : it->second.Fence;
}

} // namespace History
