#include "benchmarks/dayofhistory.h"
#include "history/historyconstants.h"
#include "logsync/logsync.h"
#include "table/table.h"
#include "utils/digest.h"

#include <algorithm>

namespace Benchmarks {

namespace {

constexpr int Teams = 30;
constexpr int Engines = 40;
constexpr uint16_t ClosedPort = 9;
constexpr int EngineMemoryMb = 1'000'000;
constexpr size_t EditsPerAppend = 100;
constexpr int LeaseRenewals = 130'000;
constexpr int Edits = 500;
constexpr int ReplicaLives = 4000;
constexpr int Orders = 20'000;
constexpr int OrderBodyBytes = 200;

} // namespace

DayOfHistory::DayOfHistory(Size size) : Extent(size) {
  writeTable();
  claim(History::Constants::PlacementDuty);
  claim(History::Constants::SnapshotDuty);
  writeEngines();
  writeDay();
}

History::Verdict DayOfHistory::put(const History::Record &record) {
  putAll({record});
  auto it = Current.Verdicts.find(History::recordId(record));
  return it == Current.Verdicts.end() ? History::Verdict() : it->second;
}

void DayOfHistory::putAll(const std::vector<History::Record> &records) {
  Appends.push_back(History::encodeRecords(records));
  History::applyAppend(Current, Appends.size() - 1, Appends.back());
}

History::TableEdit DayOfHistory::edit(Table::RowKind kind,
                                      const std::string &name,
                                      Table::Cells cells) {
  History::TableEdit edit;
  edit.EditId = Utils::randomId();
  edit.Actor = "operator";
  edit.Row = {kind, name};
  auto it = Current.Table.Rows.find(edit.Row);
  edit.BaseVersion = it == Current.Table.Rows.end() ? 0 : it->second.Version;
  edit.Values = std::move(cells);
  return edit;
}

Table::Cells DayOfHistory::modelCells(int mb) {
  return {{"weights", "store/checkpoints/model"},
          {"memory_mb", std::to_string(mb)},
          {"kv_cache_mb", "2000"},
          {"max_replicas", "4"},
          {"teams", "team1;team2;team3"}};
}

void DayOfHistory::writeTable() {
  std::vector<History::Record> batch;
  batch.reserve(static_cast<size_t>(Teams) +
                static_cast<size_t>(Extent.Models) +
                static_cast<size_t>(Extent.Adapters));
  for (int i = 0; i < Teams; ++i)
    batch.push_back(
        edit(Table::RowKind::Team, "team" + std::to_string(i),
             {{"rate_tokens_per_s", "1000"}, {"burst_tokens", "5000"}}));
  for (int i = 0; i < Extent.Models; ++i)
    batch.push_back(edit(Table::RowKind::Model, "model" + std::to_string(i),
                         modelCells(8000)));
  for (int i = 0; i < Extent.Adapters; ++i)
    batch.push_back(
        edit(Table::RowKind::Adapter, "adapter" + std::to_string(i),
             {{"weights", "store/adapters/adapter" + std::to_string(i)},
              {"base", "model" + std::to_string(i % Extent.Models)},
              {"memory_mb", "200"},
              {"teams", "team1;team2"}}));
  for (size_t i = 0; i < batch.size(); i += EditsPerAppend)
    putAll({batch.begin() + static_cast<long>(i),
            batch.begin() +
                static_cast<long>(std::min(batch.size(), i + EditsPerAppend))});
}

void DayOfHistory::claim(const std::string &duty) {
  History::LeaseChange change;
  change.ChangeId = Utils::randomId();
  change.Duty = duty;
  change.Holder = "daemon0";
  change.DurationMs = 4000;
  put(change);
}

void DayOfHistory::writeEngines() {
  for (int i = 0; i < Engines; ++i) {
    History::EndpointChange change;
    change.ChangeId = Utils::randomId();
    change.Fence = History::fenceOf(Current, History::Constants::PlacementDuty);
    change.Endpoint = "engine" + std::to_string(i);
    change.Address = "127.0.0.1";
    change.Port = ClosedPort;
    change.FailureDomain = "domain" + std::to_string(i % 3);
    change.MemoryMb = EngineMemoryMb;
    put(change);
  }
}

void DayOfHistory::renew() {
  History::LeaseChange change;
  change.ChangeId = Utils::randomId();
  change.Action = History::LeaseAction::Renew;
  change.Duty = History::Constants::PlacementDuty;
  change.Holder = "daemon0";
  change.ExpectedFence = History::fenceOf(Current, change.Duty);
  put(change);
}

void DayOfHistory::replicaLife(int i) {
  History::ReplicaChange change;
  change.Fence = History::fenceOf(Current, History::Constants::PlacementDuty);
  change.Actor = "daemon0";
  change.ReplicaId = Utils::randomId();
  change.Model = "model" + std::to_string(i % Extent.Models);
  change.Endpoint = "engine" + std::to_string(i % Engines);
  for (auto action :
       {History::ReplicaAction::DecideLoad, History::ReplicaAction::Ready,
        History::ReplicaAction::DecideUnload, History::ReplicaAction::Gone}) {
    change.ChangeId = Utils::randomId();
    change.Action = action;
    put(change);
  }
}

void DayOfHistory::order(int i) {
  History::OrderClaim claim;
  claim.ClaimId = Utils::randomId();
  claim.Daemon = "daemon0";
  claim.KeyHash = Utils::strongHash(std::to_string(i));
  claim.RequestHash = Utils::strongHash("request");
  put(claim);
  put(History::OrderOutcome{claim.ClaimId, claim.KeyHash,
                            History::OrderResult::Ran, 200, "text/plain",
                            std::string(OrderBodyBytes, 'b')});
}

void DayOfHistory::writeDay() {
  for (int i = 0; i < LeaseRenewals; ++i) {
    renew();
    if (i % (LeaseRenewals / Edits) == 0)
      put(edit(Table::RowKind::Model, "model0", modelCells(8000 + i % 7)));
    if (i % (LeaseRenewals / ReplicaLives) == 0)
      replicaLife(i);
    if (i % (LeaseRenewals / Orders) == 0)
      order(i);
    writeSnapshot();
  }
}

void DayOfHistory::writeSnapshot() {
  std::optional<LogSync::SnapshotPlace> place;
  if (Snapshot)
    place = {*Snapshot, *Snapshot};
  uint64_t next = Current.NextOffset;
  if (!LogSync::snapshotDue(place, 0, next))
    return;
  for (auto &chunk : History::makeSnapshot(Current, Utils::randomId()))
    putAll({History::Record(std::move(chunk))});
  Snapshot = next;
}

} // namespace Benchmarks
