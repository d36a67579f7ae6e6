#ifndef RANDOMRECORDS_H
#define RANDOMRECORDS_H

#include "history/history.h"
#include "history/historyconstants.h"

#include <random>

/// Draws records that the fold often accepts. Equal draws on equal states give
/// equal records; ids repeat now and then, as those of repeated appends do.
class RandomRecords {
public:
  explicit RandomRecords(uint32_t draw) : Random(draw) {}

  History::Record next(const History::State &state) {
    switch (number(12)) {
    case 0:
    case 1:
    case 2:
      return edit(state);
    case 3:
    case 4:
      return lease(state);
    case 5:
      return endpoint(state);
    case 6:
      return replica(state);
    case 7:
      return History::Demand{id("d"), name("vm"), name("model"), number(9)};
    case 8:
      return History::MemberChange{id("m"),
                                   History::MemberAction(number(2)),
                                   name("daemon"),
                                   "10.0.0.1",
                                   uint16_t(number(9)),
                                   name("domain")};
    case 9:
      return History::OrderClaim{id("c"),
                                 name("daemon"),
                                 "kitchen",
                                 "desk",
                                 name("orderkey"),
                                 name("request"),
                                 number(2) * int64_t(number(100))};
    case 10:
      return outcome(state);
    default:
      return expiry(state);
    }
  }

  uint32_t number(uint32_t below) {
    return std::uniform_int_distribution<uint32_t>(0, below - 1)(Random);
  }

private:
  std::string name(const std::string &prefix) {
    return prefix + std::to_string(number(3));
  }
  std::string id(const std::string &prefix) {
    return prefix + std::to_string(number(40));
  }
  History::Position fence(const History::State &state, const char *duty) {
    return number(5) ? History::fenceOf(state, duty) : 1;
  }

  History::TableEdit edit(const History::State &state) {
    History::TableEdit edit;
    edit.EditId = id("e");
    edit.Actor = name("actor");
    edit.WallMs = number(1000);
    edit.Row.Kind = Table::RowKind(number(5));
    edit.Row.Name = std::string(Table::rowKindName(edit.Row.Kind)) +
                    std::to_string(number(3));
    auto it = state.Table.Rows.find(edit.Row);
    if (it != state.Table.Rows.end() && number(5))
      edit.BaseVersion = it->second.Version;
    edit.Deleted = number(6) == 0;
    if (!edit.Deleted)
      edit.Values = cells(edit.Row.Kind);
    return edit;
  }
  Table::Cells cells(Table::RowKind kind) {
    std::string n = std::to_string(1 + number(50));
    switch (kind) {
    case Table::RowKind::Model:
      return {{"weights", "w"},
              {"memory_mb", n},
              {"max_replicas", "2"},
              {"teams", "*"}};
    case Table::RowKind::Adapter:
      return {{"base", name("model")},
              {"weights", "w"},
              {"memory_mb", n},
              {"teams", "team0;team1"}};
    case Table::RowKind::Service:
      return {
          {"prefix", "/" + name("p")}, {"idempotent", "no"}, {"teams", "*"}};
    case Table::RowKind::Team:
      return {{"rate_tokens_per_s", n}, {"burst_tokens", n}};
    case Table::RowKind::Key:
      return {{"team", name("team")},
              {"key_hash", std::string(64, char('a' + number(4)))}};
    }
    return {};
  }

  History::LeaseChange lease(const History::State &state) {
    History::LeaseChange change;
    change.ChangeId = id("l");
    change.Action = History::LeaseAction(number(8) ? number(2) : 2);
    change.Duty = number(2) ? History::Constants::PlacementDuty
                            : History::Constants::SnapshotDuty;
    auto it = state.Leases.find(change.Duty);
    change.Holder = name("daemon");
    change.DurationMs = 1000 + number(9);
    if (it == state.Leases.end())
      return change;
    if (change.Action != History::LeaseAction::Claim && number(4))
      change.Holder = it->second.Holder;
    change.ExpectedFence = it->second.Fence;
    change.ExpectedRenewal = it->second.Renewal;
    return change;
  }

  History::EndpointChange endpoint(const History::State &state) {
    History::EndpointChange change;
    change.ChangeId = id("p");
    change.Fence = fence(state, History::Constants::PlacementDuty);
    change.Endpoint = name("vm");
    change.Life = History::EndpointLife(number(6) ? 0 : number(3));
    change.Address = name("10.0.0.");
    change.Port = uint16_t(number(99));
    change.FailureDomain = name("domain");
    change.MemoryMb = 100;
    change.ChecksFencing = number(2) == 0;
    change.Service = name("service");
    return change;
  }

  History::ReplicaChange replica(const History::State &state) {
    History::ReplicaChange change;
    change.ChangeId = id("r");
    change.Action = History::ReplicaAction(number(6));
    change.Fence = fence(state, History::Constants::PlacementDuty);
    change.Actor = name("daemon");
    change.ReplicaId = name("replica");
    change.Model = name("model");
    change.Endpoint = name("vm");
    auto it = state.Replicas.find(change.ReplicaId);
    if (it != state.Replicas.end())
      if (auto sender = it->second.Senders.find(change.Actor);
          sender != it->second.Senders.end())
        change.Settles = sender->second;
    return change;
  }

  History::OrderOutcome outcome(const History::State &state) {
    History::OrderOutcome outcome;
    outcome.KeyHash = name("orderkey");
    if (auto it = state.Orders.find(outcome.KeyHash); it != state.Orders.end())
      outcome.ClaimId = it->second.ClaimId;
    outcome.Result = History::OrderResult(number(3));
    outcome.HttpStatus = uint16_t(200 + number(3));
    outcome.ContentType = name("type");
    outcome.Body = name("body");
    return outcome;
  }

  History::Record expiry(const History::State &state) {
    auto held = fence(state, History::Constants::SnapshotDuty);
    if (number(2))
      return History::OrdersExpired{id("x"), held, number(100)};
    return History::OrderBodiesExpired{
        id("y"), held,
        state.Applied > 5000 ? state.Applied - number(5000) : state.Applied};
  }

  std::mt19937 Random;
};

#endif // RANDOMRECORDS_H
