#include "table/table.h"
#include "table/tableconstants.h"

#include <algorithm>
#include <charconv>
#include <csv.h>
#include <memory>

namespace Table {

namespace {

namespace C = Constants;

struct Record {
  size_t Line = 1;
  std::vector<std::string> Cells;
};

struct Records {
  std::vector<Record> Lines;
  Record Current;
};

void onCell(void *data, size_t n, void *context) {
  auto *records = static_cast<Records *>(context);
  records->Current.Cells.emplace_back(static_cast<const char *>(data), n);
}

void onLineEnd(int /*terminator*/, void *context) {
  auto *records = static_cast<Records *>(context);
  records->Lines.push_back(std::move(records->Current));
  records->Current.Cells.clear();
}

/// Bytes of the first line with its end: CR, LF or both.
size_t lineLength(std::string_view text) {
  size_t end = text.find_first_of("\r\n");
  if (end == std::string_view::npos)
    return text.size();
  return text.substr(end, 2) == "\r\n" ? end + 2 : end + 1;
}

/// State of libcsv's parser between two records.
constexpr int BetweenRecords = 0;

/// Reads the records, each with the line on which it begins. Returns the line
/// that breaks RFC 4180, or 0.
size_t readCsv(std::string_view csv, Records &records) {
  csv_parser parser{};
  if (csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI) != 0)
    return 1;
  size_t line = 0;
  size_t broken = 0;
  while (!csv.empty() && broken == 0) {
    ++line;
    size_t n = lineLength(csv);
    if (parser.pstate == BetweenRecords)
      records.Current.Line = line;
    if (csv_parse(&parser, csv.data(), n, onCell, onLineEnd, &records) != n)
      broken = line;
    csv.remove_prefix(n);
  }
  if (broken == 0 && csv_fini(&parser, onCell, onLineEnd, &records) != 0)
    broken = records.Current.Line;
  csv_free(&parser);
  return broken;
}

std::string quoted(const std::string &cell) {
  if (cell.find_first_of("\",\r\n") == std::string::npos)
    return cell;
  std::string out(csv_write(nullptr, 0, cell.data(), cell.size()), '\0');
  csv_write(out.data(), out.size(), cell.data(), cell.size());
  return out;
}

std::string joined(const std::vector<std::string> &cells) {
  std::string line;
  for (size_t i = 0; i < cells.size(); ++i)
    line += (i ? "," : "") + quoted(cells[i]);
  return line + "\n";
}

struct RawRow {
  std::string Kind;
  std::string Version;
  Row Content;
};

RawRow rawRow(const std::vector<std::string> &header,
              const std::vector<std::string> &cells) {
  RawRow raw;
  for (size_t i = 0; i < cells.size(); ++i) {
    if (cells[i].empty())
      continue;
    if (header[i] == C::Kind)
      raw.Kind = cells[i];
    else if (header[i] == C::Name)
      raw.Content.Id.Name = cells[i];
    else if (header[i] == C::Version)
      raw.Version = cells[i];
    else
      raw.Content.Values[header[i]] = cells[i];
  }
  return raw;
}

bool parseVersion(const std::string &text, uint64_t &version) {
  const char *end = text.data() + text.size();
  auto result = std::from_chars(text.data(), end, version);
  return text.empty() || (result.ec == std::errc() && result.ptr == end);
}

/// Reads one record into a row; adds the faults found on the way.
void readRow(const std::vector<std::string> &header, const Record &record,
             std::set<RowId> &known, Sheet &sheet) {
  auto fault = [&](std::string row, Fault what) {
    sheet.Faults.push_back({record.Line, std::move(row), std::move(what)});
  };
  if (record.Cells.size() > header.size())
    return fault("", {"", std::to_string(record.Cells.size()) + " cells",
                      "at most one cell for each column"});
  RawRow raw = rawRow(header, record.Cells);
  Row &row = raw.Content;
  row.Line = record.Line;
  std::optional<RowKind> kind = rowKindFromName(raw.Kind);
  if (!kind)
    return fault(row.Id.Name,
                 {C::Kind, raw.Kind, "model, adapter, service, team or key"});
  row.Id.Kind = *kind;
  std::string text = rowText(row.Id);
  if (!parseVersion(raw.Version, row.Version))
    fault(text, {C::Version, raw.Version, "the number exported"});
  for (Fault &it : validateRow(row.Id, row.Values))
    fault(text, std::move(it));
  if (!known.insert(row.Id).second)
    fault(text, {C::Name, row.Id.Name, "each row once"});
  sheet.Rows.push_back(std::move(row));
}

/// Rank of a kind: rows name only rows of a lower one.
int rank(RowKind kind) {
  return kind == RowKind::Adapter || kind == RowKind::Key ? 1 : 0;
}

/// Columns that are missing, and those that stand there twice.
void checkHeader(const std::vector<std::string> &header, Sheet &sheet) {
  for (const char *column : {C::Kind, C::Name})
    if (std::find(header.begin(), header.end(), column) == header.end())
      sheet.Faults.push_back({1, "", {column, "", "a column of this name"}});
  std::set<std::string> seen;
  for (const std::string &column : header)
    if (!seen.insert(column).second)
      sheet.Faults.push_back({1, "", {column, column, "each column once"}});
}

} // namespace

Sheet parseSheet(std::string_view csv) {
  Sheet sheet;
  Records records;
  if (size_t line = readCsv(csv, records); line != 0) {
    sheet.Faults.push_back(
        {line, "", {"", "malformed CSV", "RFC 4180 quoting"}});
    return sheet;
  }
  if (records.Lines.empty()) {
    sheet.Faults.push_back({1, "", {"", "empty file", "a header line"}});
    return sheet;
  }
  const std::vector<std::string> &header = records.Lines.front().Cells;
  checkHeader(header, sheet);
  if (!sheet.Faults.empty())
    return sheet;
  std::set<RowId> known;
  for (size_t i = 1; i < records.Lines.size(); ++i)
    readRow(header, records.Lines[i], known, sheet);
  return sheet;
}

std::string writeSheet(const std::vector<Row> &rows) {
  std::set<std::string> columns;
  for (const Row &row : rows)
    for (const auto &[column, cell] : row.Values)
      columns.insert(column);
  std::vector<std::string> header = {C::Kind, C::Name, C::Version};
  header.insert(header.end(), columns.begin(), columns.end());
  std::string csv = joined(header);
  for (const Row &row : rows) {
    std::vector<std::string> cells = {std::string(rowKindName(row.Id.Kind)),
                                      row.Id.Name, std::to_string(row.Version)};
    for (const std::string &column : columns) {
      auto it = row.Values.find(column);
      cells.push_back(it == row.Values.end() ? "" : it->second);
    }
    csv += joined(cells);
  }
  return csv;
}

std::vector<RowChange> difference(const std::vector<Row> &current,
                                  const std::vector<Row> &wanted,
                                  bool deleteMissing) {
  std::map<RowId, const Row *> old;
  for (const Row &row : current)
    old.emplace(row.Id, &row);
  std::set<RowId> named;
  uint64_t newest = 0;
  std::vector<RowChange> changes;
  for (const Row &row : wanted) {
    named.insert(row.Id);
    newest = std::max(newest, row.Version);
    auto it = old.find(row.Id);
    if (it == old.end() || it->second->Values != row.Values)
      changes.push_back({row, false});
  }
  for (const Row &row : current)
    if (deleteMissing && !named.count(row.Id)) {
      changes.push_back({row, true});
      changes.back().Wanted.Version = std::min(row.Version, newest);
    }
  // Rows that name others go first, the named ones last, so that no row names
  // a missing one in between.
  auto place = [](const RowChange &it) {
    constexpr int last = 3;
    int kind = rank(it.Wanted.Id.Kind);
    if (it.Deleted)
      return kind > 0 ? 0 : last;
    return kind + 1;
  };
  std::stable_sort(changes.begin(), changes.end(),
                   [&](const RowChange &left, const RowChange &right) {
                     return place(left) < place(right);
                   });
  return changes;
}

} // namespace Table
