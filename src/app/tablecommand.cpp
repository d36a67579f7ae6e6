#include "commandline.h"
#include "logview.h"

#include "utils/utils.h"

#include <absl/flags/flag.h>
#include <absl/time/time.h>
#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace App {

namespace {

/// All rows of the table in the state.
std::vector<Table::Row> rowsOf(const History::State &state) {
  std::vector<Table::Row> rows;
  for (const auto &[id, row] : state.Table.Rows)
    rows.push_back({id, row.Version, row.Values});
  return rows;
}

std::string actorName() {
  std::string actor = absl::GetFlag(FLAGS_actor);
  if (!actor.empty())
    return actor;
  const char *login = std::getenv("USER");
  return login ? login : "unknown";
}

History::TableEdit makeEdit(const Table::RowChange &change) {
  History::TableEdit edit;
  edit.EditId = Utils::randomId();
  edit.Actor = actorName();
  edit.WallMs = Utils::Clock().WallMs();
  edit.Row = change.Wanted.Id;
  edit.BaseVersion = change.Wanted.Version;
  edit.Deleted = change.Deleted;
  edit.Values = change.Deleted ? Table::Cells() : change.Wanted.Values;
  return edit;
}

std::string verdictText(const Utils::Outcome<History::Verdict> &verdict,
                        bool deleted) {
  if (!verdict)
    return "not known, " + verdict.error().What;
  if (!verdict->Accepted)
    return "refused, " + verdict->Reason + "; version in force " +
           std::to_string(verdict->WinningVersion);
  return deleted
             ? "accepted, deleted"
             : "accepted, version " + std::to_string(verdict->WinningVersion);
}

ExitCode exitCodeOf(const Utils::Outcome<History::Verdict> &verdict) {
  if (!verdict)
    return ExitCode::Unavailable;
  return verdict->Accepted ? ExitCode::Done : ExitCode::Refused;
}

/// Submits the changes, prints the outcome of each and returns the worst exit
/// code.
ExitCode submit(LogView &view, const std::vector<Table::RowChange> &changes,
                const std::string &file) {
  std::vector<History::TableEdit> edits;
  edits.reserve(changes.size());
  for (const Table::RowChange &it : changes)
    edits.push_back(makeEdit(it));
  auto outcomes = view.submit(edits);
  ExitCode code = ExitCode::Done;
  for (size_t i = 0; i < changes.size(); ++i) {
    const Table::Row &row = changes[i].Wanted;
    if (row.Line != 0)
      std::cout << file << ':' << row.Line << ": ";
    std::cout << Table::rowText(row.Id) << ": "
              << verdictText(outcomes[i], changes[i].Deleted) << '\n';
    code = std::max(code, exitCodeOf(outcomes[i]));
  }
  return code;
}

ExitCode importSheet(LogView &view, const std::string &file) {
  std::ifstream in(file);
  if (!in)
    return usageError(file + " cannot be read");
  std::ostringstream text;
  text << in.rdbuf();
  bool deleteMissing = absl::GetFlag(FLAGS_delete_missing);
  Table::Sheet sheet = Table::parseSheet(text.str());
  std::vector<Table::Row> current = rowsOf(view.state());
  auto faults = Table::crossFaults(
      sheet, deleteMissing ? std::vector<Table::Row>() : current);
  faults.insert(faults.begin(), sheet.Faults.begin(), sheet.Faults.end());
  for (const Table::SheetFault &it : faults)
    std::cerr << Table::faultText(file, it) << '\n';
  if (!faults.empty()) {
    std::cerr << faults.size() << " faults, no row was imported\n";
    return ExitCode::Refused;
  }
  auto changes = Table::difference(current, sheet.Rows, deleteMissing);
  ExitCode code = submit(view, changes, file);
  std::cout << changes.size() << " changes\n";
  return code;
}

/// Row id from the arguments KIND NAME; nothing if one is missing or KIND is
/// unknown.
std::optional<Table::RowId> rowIdFromArguments(const Arguments &arguments) {
  if (arguments.size() < 3)
    return std::nullopt;
  auto kind = Table::rowKindFromName(arguments[1]);
  if (!kind)
    return std::nullopt;
  return Table::RowId{*kind, arguments[2]};
}

ExitCode editRow(LogView &view, const Arguments &arguments) {
  auto id = rowIdFromArguments(arguments);
  if (!id)
    return usageError("table edit KIND NAME COLUMN=VALUE...");
  const auto &rows = view.state().Table.Rows;
  auto it = rows.find(*id);
  Table::Cells cells = it == rows.end() ? Table::Cells() : it->second.Values;
  for (size_t i = 3; i < arguments.size(); ++i) {
    size_t equals = arguments[i].find('=');
    if (equals == std::string::npos)
      return usageError(arguments[i] + " is not COLUMN=VALUE");
    std::string value = arguments[i].substr(equals + 1);
    if (value.empty())
      cells.erase(arguments[i].substr(0, equals));
    else
      cells[arguments[i].substr(0, equals)] = value;
  }
  uint64_t version = it == rows.end() ? 0 : it->second.Version;
  return submit(view, {{{*id, version, cells}, false}}, "");
}

ExitCode deleteRow(LogView &view, const Arguments &arguments) {
  auto id = rowIdFromArguments(arguments);
  if (!id)
    return usageError("table delete KIND NAME");
  const auto &rows = view.state().Table.Rows;
  auto it = rows.find(*id);
  uint64_t version = it == rows.end() ? 0 : it->second.Version;
  return submit(view, {{{*id, version, {}}, true}}, "");
}

ExitCode showRows(const LogView &view, const Arguments &arguments) {
  std::vector<Table::Row> rows = rowsOf(view.state());
  if (arguments.size() > 1) {
    auto kind = Table::rowKindFromName(arguments[1]);
    if (!kind)
      return usageError(arguments[1] + " is not a row kind");
    std::erase_if(rows, [&](const auto &row) { return row.Id.Kind != *kind; });
  }
  std::cout << Table::writeText(rows);
  return ExitCode::Done;
}

/// UTC time of an edit as text; a dash if the record has no time.
std::string timeText(int64_t wallMs) {
  return wallMs <= 0 ? "-"
                     : absl::FormatTime("%Y-%m-%dT%H:%M:%SZ",
                                        absl::FromUnixMillis(wallMs),
                                        absl::UTCTimeZone());
}

/// Whether the entry is about a row of the table, not about another record.
bool isTableEntry(const History::AuditEntry &entry) {
  auto kind =
      Table::rowKindFromName(entry.What.substr(0, entry.What.find(' ')));
  return kind.has_value();
}

ExitCode showHistory(const LogView &view, const Arguments &arguments) {
  auto id = rowIdFromArguments(arguments);
  if (!id && arguments.size() > 1)
    return usageError("table history [KIND NAME]");
  for (const History::AuditEntry &it : view.state().Audit) {
    if (id ? it.What != Table::rowText(*id) : !isTableEntry(it))
      continue;
    std::cout << it.At << ' ' << timeText(it.WallMs) << ' ' << it.Actor << ' '
              << it.What << ": "
              << (it.Accepted ? "accepted" : "refused, " + it.Reason) << " | "
              << it.Before << " -> " << it.After << '\n';
  }
  return ExitCode::Done;
}

} // namespace

ExitCode runTable(const Arguments &arguments) {
  if (arguments.empty())
    return usageError("table show|export|import|edit|delete|history");
  auto log = logFromSettings();
  if (!log)
    return ExitCode::Refused;
  LogView view(*log);
  if (Utils::Status status = view.catchUp(); !status) {
    std::cerr << "hickoryspring: " << status.error().What << '\n';
    return ExitCode::Unavailable;
  }
  const std::string &action = arguments.front();
  if (action == "show")
    return showRows(view, arguments);
  if (action == "export") {
    std::cout << Table::writeSheet(rowsOf(view.state()));
    return ExitCode::Done;
  }
  if (action == "import" && arguments.size() == 2)
    return importSheet(view, arguments[1]);
  if (action == "edit")
    return editRow(view, arguments);
  if (action == "delete")
    return deleteRow(view, arguments);
  if (action == "history")
    return showHistory(view, arguments);
  return usageError("table show|export|import FILE|edit|delete|history");
}

} // namespace App
