#include "table/table.h"
#include "table/tableconstants.h"

namespace Table {

namespace {

namespace C = Constants;

/// Rows that a sheet's rows may name, and the values that only one may have.
class Names {
public:
  void add(const Row &row) {
    Ids.insert(row.Id);
    if (std::string value = uniqueValue(row); !value.empty())
      Owners.emplace(value, row.Id);
  }

  bool has(RowKind kind, const std::string &name) const {
    return Ids.count({kind, name}) != 0;
  }

  /// Another row with the same prefix or key hash.
  const RowId *sharer(const Row &row) const {
    auto it = Owners.find(uniqueValue(row));
    return it == Owners.end() || it->second == row.Id ? nullptr : &it->second;
  }

private:
  /// Prefixes begin with a slash and hashes never do, so that one set serves.
  static std::string uniqueValue(const Row &row) {
    if (row.Id.Kind == RowKind::Service)
      return serviceFrom(row.Values).Prefix;
    if (row.Id.Kind == RowKind::Key)
      return keyFrom(row.Values).KeyHash;
    return {};
  }

  std::set<RowId> Ids;
  std::map<std::string, RowId> Owners;
};

void checkNamed(const Row &row, const Names &names, std::vector<Fault> &out) {
  switch (row.Id.Kind) {
  case RowKind::Model:
    return;
  case RowKind::Adapter: {
    std::string base = adapterFrom(row.Values).Base;
    if (names.has(RowKind::Model, row.Id.Name))
      out.push_back({C::Name, row.Id.Name, "a name that no model has"});
    if (!base.empty() && !names.has(RowKind::Model, base))
      out.push_back({C::Base, base, "the name of a model row"});
    return;
  }
  case RowKind::Key: {
    std::string team = keyFrom(row.Values).Team;
    if (!team.empty() && !names.has(RowKind::Team, team))
      out.push_back({C::Team, team, "the name of a team row"});
    return;
  }
  case RowKind::Service:
  case RowKind::Team:
    return;
  }
}

void checkUnique(const Row &row, const Names &names, std::vector<Fault> &out) {
  const RowId *other = names.sharer(row);
  if (!other)
    return;
  bool service = row.Id.Kind == RowKind::Service;
  out.push_back(
      {service ? C::Prefix : C::KeyHash,
       service ? serviceFrom(row.Values).Prefix : keyFrom(row.Values).KeyHash,
       "a value of its own; " + rowText(*other) + " has the same"});
}

} // namespace

std::vector<SheetFault> crossFaults(const Sheet &sheet,
                                    const std::vector<Row> &others) {
  std::set<RowId> inSheet;
  for (const Row &row : sheet.Rows)
    inSheet.insert(row.Id);
  Names names;
  for (const Row &row : others)
    if (!inSheet.count(row.Id))
      names.add(row);
  for (const Row &row : sheet.Rows)
    names.add(row);
  std::vector<SheetFault> faults;
  for (const Row &row : sheet.Rows) {
    std::vector<Fault> found;
    checkNamed(row, names, found);
    checkUnique(row, names, found);
    for (Fault &it : found)
      faults.push_back({row.Line, rowText(row.Id), std::move(it)});
  }
  return faults;
}

} // namespace Table
