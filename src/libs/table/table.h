#ifndef TABLE_TABLE_H
#define TABLE_TABLE_H

/// Public header of the table library: rows, their schema, typed views and CSV.
#include "utils/outcome.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Table {

enum class RowKind : uint8_t { Model, Adapter, Service, Team, Key };

/// Name of a kind as written in the `kind` column.
std::string_view rowKindName(RowKind kind);
std::optional<RowKind> rowKindFromName(std::string_view name);

/// Identity of a row.
struct RowId {
  RowKind Kind = RowKind::Model;
  std::string Name;
  auto operator<=>(const RowId &) const = default;
};

/// Cells by column name; empty cells are left out.
using Cells = std::map<std::string, std::string>;

/// A row as read from a sheet. Version 0 stands for a row not yet in the table.
struct Row {
  RowId Id;
  uint64_t Version = 0;
  Cells Values;
  /// Line of the sheet, 0 for a row that comes from none.
  size_t Line = 0;
};

/// One fault found in a row: which column, what was found, what is allowed.
struct Fault {
  std::string Column;
  std::string Found;
  std::string Allowed;
};

/// Checks cells against the schema of the kind; returns every fault.
std::vector<Fault> validateRow(const RowId &id, const Cells &cells);

/// Text of the schema, one line a column: kind, column, type, limits, meaning.
std::string describeSchema();

/// Teams that may use a row; `All` is written as `*`.
struct TeamSet {
  bool All = false;
  std::set<std::string> Names;
  bool contains(const std::string &team) const {
    return All || Names.count(team) != 0;
  }
};

struct ModelSpec {
  std::string Weights;
  uint64_t MemoryMb = 0;
  uint64_t KvCacheMb = 0;
  uint32_t MaxReplicas = 1;
  uint32_t MinReplicas = 0;
  TeamSet Teams;
};

struct AdapterSpec {
  std::string Base;
  std::string Weights;
  uint64_t MemoryMb = 0;
  TeamSet Teams;
};

struct ServiceSpec {
  std::string Prefix;
  bool Idempotent = true;
  bool Open = false;
  TeamSet Teams;
};

struct TeamSpec {
  uint64_t RateTokensPerS = 0;
  uint64_t BurstTokens = 0;
  uint32_t Priority = 0;
};

struct KeySpec {
  std::string Team;
  std::string KeyHash;
};

/// Typed views. The cells must have passed validateRow().
ModelSpec modelFrom(const Cells &cells);
AdapterSpec adapterFrom(const Cells &cells);
ServiceSpec serviceFrom(const Cells &cells);
TeamSpec teamFrom(const Cells &cells);
KeySpec keyFrom(const Cells &cells);

/// Kind and name, as `model menu-small`.
std::string rowText(const RowId &id);

/// Fault in a sheet, with the line of the file it stands on (1 is the header)
/// and the kind and name of its row as far as they are known.
struct SheetFault {
  size_t Line = 0;
  std::string Row;
  Fault What;
};

/// Result of reading a sheet: all rows that could be read and all faults found.
struct Sheet {
  std::vector<Row> Rows;
  std::vector<SheetFault> Faults;
};

/// Reads a CSV sheet (RFC 4180) with a header line.
Sheet parseSheet(std::string_view csv);

/// `FILE:LINE: row ROW, column COLUMN: found "X", allowed is Y`
std::string faultText(const std::string &file, const SheetFault &fault);

/// Faults between rows: a missing base or team, a name, prefix or key hash that
/// two rows share. `others` are rows that are in force beside the sheet; those
/// that the sheet also has are left out of account.
std::vector<SheetFault> crossFaults(const Sheet &sheet,
                                    const std::vector<Row> &others);

/// Writes rows for people: a block of aligned columns for each kind.
std::string writeText(const std::vector<Row> &rows);

/// Writes rows as a CSV sheet that parseSheet() reads back.
std::string writeSheet(const std::vector<Row> &rows);

/// One difference between an edited sheet and the rows it was exported from.
struct RowChange {
  Row Wanted;
  bool Deleted = false;
};

/// Changes that turn `current` into `wanted`, in an order in which each row
/// finds the rows it names. A row that the sheet leaves out is deleted only
/// when `deleteMissing` is set, and on the newest version that the sheet names:
/// a row changed after the export is then refused.
std::vector<RowChange> difference(const std::vector<Row> &current,
                                  const std::vector<Row> &wanted,
                                  bool deleteMissing);

} // namespace Table

#endif // TABLE_TABLE_H
