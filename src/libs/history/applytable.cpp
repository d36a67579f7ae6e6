#include "history/applyrecord.h"

#include <sstream>

namespace History::Internal {

namespace {

std::string cellsText(const Table::Cells &cells) {
  std::ostringstream out;
  for (const auto &[column, cell] : cells)
    out << (out.tellp() > 0 ? " " : "") << column << '=' << cell;
  return out.str();
}

std::string faultText(const std::vector<Table::Fault> &faults) {
  std::ostringstream out;
  for (const Table::Fault &fault : faults)
    out << (out.tellp() > 0 ? "; " : "") << fault.Column << ": found \""
        << fault.Found << "\", allowed is " << fault.Allowed;
  return out.str();
}

void removeView(TableState &table, const Table::RowId &id,
                const TableRow &old) {
  switch (id.Kind) {
  case Table::RowKind::Model:
    table.Models.erase(id.Name);
    return;
  case Table::RowKind::Adapter:
    table.Adapters.erase(id.Name);
    return;
  case Table::RowKind::Service:
    table.Services.erase(id.Name);
    return;
  case Table::RowKind::Team:
    table.Teams.erase(id.Name);
    return;
  case Table::RowKind::Key:
    table.KeyTeams.erase(Table::keyFrom(old.Values).KeyHash);
    return;
  }
}

/// Rows named in a refusal; further ones are counted.
constexpr size_t MaxNamedRows = 5;

/// Whether the row names the other one as its base or its team.
bool names(const Table::RowId &id, const Table::Cells &cells,
           const Table::RowId &other) {
  if (id.Kind == Table::RowKind::Adapter)
    return other.Kind == Table::RowKind::Model &&
           Table::adapterFrom(cells).Base == other.Name;
  return id.Kind == Table::RowKind::Key && other.Kind == Table::RowKind::Team &&
         Table::keyFrom(cells).Team == other.Name;
}

/// Reason for which the row cannot be deleted.
std::string stillNamed(const TableState &table, const Table::RowId &deleted) {
  std::ostringstream out;
  size_t n = 0;
  for (const auto &[id, row] : table.Rows)
    if (names(id, row.Values, deleted) && ++n <= MaxNamedRows)
      out << (n > 1 ? ", " : "still named by ") << Table::rowText(id);
  if (n > MaxNamedRows)
    out << " and " << n - MaxNamedRows << " more";
  return out.str();
}

/// Reason for which a well-formed edit cannot stand beside the other rows.
std::string clash(const TableState &table, const TableEdit &edit) {
  if (edit.Deleted)
    return stillNamed(table, edit.Row);
  switch (edit.Row.Kind) {
  case Table::RowKind::Model:
    return table.Adapters.count(edit.Row.Name) ? "an adapter has this name"
                                               : "";
  case Table::RowKind::Adapter: {
    if (table.Models.count(edit.Row.Name))
      return "a model has this name";
    std::string base = Table::adapterFrom(edit.Values).Base;
    return table.Models.count(base) ? "" : "base: no model " + base;
  }
  case Table::RowKind::Key: {
    Table::KeySpec key = Table::keyFrom(edit.Values);
    if (!table.Teams.count(key.Team))
      return "team: no team " + key.Team;
    if (!table.KeyTeams.count(key.KeyHash))
      return "";
    for (const auto &[id, row] : table.Rows)
      if (id.Kind == Table::RowKind::Key && id != edit.Row &&
          Table::keyFrom(row.Values).KeyHash == key.KeyHash)
        return "key_hash: row " + id.Name + " has the same";
    return "";
  }
  case Table::RowKind::Service: {
    std::string prefix = Table::serviceFrom(edit.Values).Prefix;
    for (const auto &[name, spec] : table.Services)
      if (name != edit.Row.Name && spec.Prefix == prefix)
        return "prefix: service " + name + " has the same";
    return "";
  }
  case Table::RowKind::Team:
    return "";
  }
  return "";
}

} // namespace

void addView(TableState &table, const Table::RowId &id,
             const Table::Cells &cells) {
  switch (id.Kind) {
  case Table::RowKind::Model:
    table.Models[id.Name] = Table::modelFrom(cells);
    return;
  case Table::RowKind::Adapter:
    table.Adapters[id.Name] = Table::adapterFrom(cells);
    return;
  case Table::RowKind::Service:
    table.Services[id.Name] = Table::serviceFrom(cells);
    return;
  case Table::RowKind::Team:
    table.Teams[id.Name] = Table::teamFrom(cells);
    return;
  case Table::RowKind::Key: {
    Table::KeySpec key = Table::keyFrom(cells);
    table.KeyTeams[key.KeyHash] = key.Team;
    return;
  }
  }
}

Verdict applyRecord(State &state, Position at, const TableEdit &record) {
  TableState &table = state.Table;
  auto row = table.Rows.find(record.Row);
  bool exists = row != table.Rows.end();
  uint64_t version = exists ? row->second.Version : 0;
  AuditEntry entry{at,
                   record.WallMs,
                   record.Actor,
                   std::string(Table::rowKindName(record.Row.Kind)) + " " +
                       record.Row.Name,
                   exists ? cellsText(row->second.Values) : "",
                   record.Deleted ? "" : cellsText(record.Values),
                   false,
                   ""};
  auto refuse = [&](std::string reason) {
    entry.Reason = reason;
    audit(state, std::move(entry));
    Verdict verdict = rejected(at, std::move(reason));
    verdict.WinningVersion = version;
    return verdict;
  };
  if (record.BaseVersion != version)
    return refuse("made on version " + std::to_string(record.BaseVersion) +
                  ", the row is at version " + std::to_string(version));
  if (record.Deleted && !exists)
    return refuse("no such row");
  if (!record.Deleted)
    if (auto faults = Table::validateRow(record.Row, record.Values);
        !faults.empty())
      return refuse(faultText(faults));
  if (std::string reason = clash(table, record); !reason.empty())
    return refuse(std::move(reason));

  if (exists)
    removeView(table, record.Row, row->second);
  Verdict verdict = accepted(at);
  if (record.Deleted) {
    table.Rows.erase(row);
  } else {
    table.Rows[record.Row] = {at, record.Values};
    addView(table, record.Row, record.Values);
    verdict.WinningVersion = at;
  }
  entry.Accepted = true;
  audit(state, std::move(entry));
  return verdict;
}

} // namespace History::Internal
