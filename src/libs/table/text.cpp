#include "table/table.h"

#include <algorithm>
#include <array>

namespace Table {

namespace {

using Line = std::vector<std::string>;

constexpr size_t Gap = 2;
constexpr std::array Kinds = {RowKind::Team, RowKind::Model, RowKind::Adapter,
                              RowKind::Service, RowKind::Key};

std::string aligned(const std::vector<Line> &lines) {
  std::vector<size_t> widths(lines.front().size());
  for (const Line &line : lines)
    for (size_t i = 0; i < line.size(); ++i)
      widths[i] = std::max(widths[i], line[i].size());
  std::string text;
  for (const Line &line : lines) {
    std::string padded;
    for (size_t i = 0; i < line.size(); ++i)
      padded += line[i] + std::string(widths[i] - line[i].size() + Gap, ' ');
    padded.erase(padded.find_last_not_of(' ') + 1);
    text += "  " + padded + "\n";
  }
  return text;
}

std::string block(RowKind kind, const std::vector<const Row *> &rows) {
  std::set<std::string> columns;
  for (const Row *row : rows)
    for (const auto &[column, cell] : row->Values)
      columns.insert(column);
  Line header = {"name"};
  header.insert(header.end(), columns.begin(), columns.end());
  header.emplace_back("version");
  std::vector<Line> lines = {header};
  for (const Row *row : rows) {
    Line line = {row->Id.Name};
    for (const std::string &column : columns) {
      auto it = row->Values.find(column);
      line.push_back(it == row->Values.end() ? "-" : it->second);
    }
    line.push_back(std::to_string(row->Version));
    lines.push_back(std::move(line));
  }
  return std::string(rowKindName(kind)) + " (" + std::to_string(rows.size()) +
         ")\n" + aligned(lines);
}

} // namespace

std::string writeText(const std::vector<Row> &rows) {
  std::string text;
  for (RowKind kind : Kinds) {
    std::vector<const Row *> chosen;
    for (const Row &row : rows)
      if (row.Id.Kind == kind)
        chosen.push_back(&row);
    if (!chosen.empty())
      text += (text.empty() ? "" : "\n") + block(kind, chosen);
  }
  return text;
}

std::string faultText(const std::string &file, const SheetFault &fault) {
  std::string text = file + ":" + std::to_string(fault.Line) + ": ";
  if (!fault.Row.empty())
    text += "row " + fault.Row + ", ";
  if (!fault.What.Column.empty())
    text += "column " + fault.What.Column + ": ";
  return text + "found \"" + fault.What.Found + "\", allowed is " +
         fault.What.Allowed;
}

} // namespace Table
