#ifndef BENCHMARKS_DAYOFHISTORY_H
#define BENCHMARKS_DAYOFHISTORY_H

#include "history/history.h"

#include <memory>
#include <optional>

namespace Benchmarks {

/// Extent of a table.
struct Size {
  int Models = 0;
  int Adapters = 0;
};

/// Today's size, and the size that the system has to carry.
inline constexpr Size Sizes[] = {{70, 60}, {140, 5100}};

/// A day of history: a table, lease renewals, edits, cold starts, unloads and
/// orders, with snapshots as the duty writes them.
class DayOfHistory {
public:
  explicit DayOfHistory(Size size);

  std::vector<std::string> Appends;
  History::State Current;

private:
  History::Verdict put(const History::Record &record);
  void putAll(const std::vector<History::Record> &records);
  History::TableEdit edit(Table::RowKind kind, const std::string &name,
                          Table::Cells cells);
  static Table::Cells modelCells(int mb);
  void writeTable();
  void claim(const std::string &duty);
  void writeEngines();
  void renew();
  void replicaLife(int i);
  void order(int i);
  void writeDay();
  void writeSnapshot();

  Size Extent;
  std::optional<uint64_t> Snapshot;
};

} // namespace Benchmarks

#endif // BENCHMARKS_DAYOFHISTORY_H
