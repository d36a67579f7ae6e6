#include "table/table.h"
#include "table/tableconstants.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace Table {

namespace {

namespace C = Constants;

constexpr std::array<std::string_view, 5> KindNames = {
    "model", "adapter", "service", "team", "key"};

enum class CellType { Text, Number, Flag, TeamList, Path, HexHash };

struct ColumnRule {
  RowKind Kind;
  const char *Column;
  CellType Type;
  bool Required;
  uint64_t Min;
  uint64_t Max;
  const char *Meaning;
};

constexpr uint64_t MaxMemoryMb = 100'000'000;
constexpr uint64_t MaxReplicaCount = 10'000;
constexpr uint64_t MaxTokens = 1'000'000'000;
constexpr uint64_t MaxPriority = 9;
constexpr size_t MaxCellBytes = 1024;
constexpr size_t MaxNameBytes = 128;
constexpr size_t HashDigits = 64;

constexpr ColumnRule Rules[] = {
    {RowKind::Model, C::Weights, CellType::Text, true, 0, 0,
     "where the weight store keeps the checkpoint"},
    {RowKind::Model, C::MemoryMb, CellType::Number, true, 1, MaxMemoryMb,
     "memory of the loaded weights, MB"},
    {RowKind::Model, C::KvCacheMb, CellType::Number, false, 0, MaxMemoryMb,
     "KV cache reserved for each replica, MB"},
    {RowKind::Model, C::MinReplicas, CellType::Number, false, 0,
     MaxReplicaCount, "replicas kept when idle"},
    {RowKind::Model, C::MaxReplicas, CellType::Number, false, 1,
     MaxReplicaCount, "most replicas at once"},
    {RowKind::Model, C::Teams, CellType::TeamList, true, 0, 0,
     "teams that may use it, separated by ';', or *"},
    {RowKind::Adapter, C::Base, CellType::Text, true, 0, 0,
     "model that the adapter extends"},
    {RowKind::Adapter, C::Weights, CellType::Text, true, 0, 0,
     "where the weight store keeps the adapter"},
    {RowKind::Adapter, C::MemoryMb, CellType::Number, true, 1, MaxMemoryMb,
     "memory of the loaded adapter, MB"},
    {RowKind::Adapter, C::Teams, CellType::TeamList, true, 0, 0,
     "teams that may use it, separated by ';', or *"},
    {RowKind::Service, C::Prefix, CellType::Path, true, 0, 0,
     "path prefix of the service's routes"},
    {RowKind::Service, C::Idempotent, CellType::Flag, true, 0, 0,
     "whether a call may be repeated"},
    {RowKind::Service, C::Open, CellType::Flag, false, 0, 0,
     "whether calls need no key"},
    {RowKind::Service, C::Teams, CellType::TeamList, true, 0, 0,
     "teams that may use it, separated by ';', or *"},
    {RowKind::Team, C::RateTokensPerS, CellType::Number, true, 1, MaxTokens,
     "tokens a second over all VMs together"},
    {RowKind::Team, C::BurstTokens, CellType::Number, true, 1, MaxTokens,
     "tokens that may come at once"},
    {RowKind::Team, C::Priority, CellType::Number, false, 0, MaxPriority,
     "priority passed to engines, 0 is lowest"},
    {RowKind::Key, C::Team, CellType::Text, true, 0, 0,
     "team that the key stands for"},
    {RowKind::Key, C::KeyHash, CellType::HexHash, true, 0, 0,
     "hash printed by `hickoryspring key hash`"},
};

bool parseNumber(std::string_view text, uint64_t &value) {
  auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return ec == std::errc() && end == text.data() + text.size();
}

bool isHexHash(std::string_view text) {
  return text.size() == HashDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool isName(std::string_view text) {
  return !text.empty() && text.size() <= MaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return c > ' ' && c < 0x7f && c != ',' && c != '"' && c != ';';
         });
}

TeamSet teamsOf(std::string_view text) {
  TeamSet teams;
  while (!text.empty()) {
    size_t n = std::min(text.find(C::ListSeparator), text.size());
    std::string_view name = text.substr(0, n);
    text.remove_prefix(std::min(n + 1, text.size()));
    if (name == C::AllTeams)
      teams.All = true;
    else if (!name.empty())
      teams.Names.emplace(name);
  }
  return teams;
}

std::string allowedNumber(const ColumnRule &rule) {
  return "a whole number from " + std::to_string(rule.Min) + " to " +
         std::to_string(rule.Max);
}

/// Returns what is allowed when the cell breaks its rule, else an empty text.
std::string violation(const ColumnRule &rule, const std::string &cell) {
  uint64_t number = 0;
  switch (rule.Type) {
  case CellType::Text:
    return cell.size() <= MaxCellBytes ? "" : "at most 1024 bytes";
  case CellType::Number:
    return parseNumber(cell, number) && number >= rule.Min && number <= rule.Max
               ? ""
               : allowedNumber(rule);
  case CellType::Flag:
    return cell == "yes" || cell == "no" ? "" : "yes or no";
  case CellType::TeamList: {
    TeamSet teams = teamsOf(cell);
    bool named = std::all_of(teams.Names.begin(), teams.Names.end(), isName);
    return named && (teams.All || !teams.Names.empty())
               ? ""
               : "team names separated by ';', or *";
  }
  case CellType::Path:
    return cell.size() > 1 && cell.front() == '/' && cell.back() != '/' &&
                   cell.find_first_of(" ?#%") == std::string::npos &&
                   cell.size() <= MaxCellBytes
               ? ""
               : "a path such as /desk, without a slash at its end";
  case CellType::HexHash:
    return isHexHash(cell) ? "" : "64 hexadecimal digits in lower case";
  }
  return "";
}

const ColumnRule *findRule(RowKind kind, std::string_view column) {
  const auto *it =
      std::find_if(std::begin(Rules), std::end(Rules), [&](const auto &rule) {
        return rule.Kind == kind && rule.Column == column;
      });
  return it == std::end(Rules) ? nullptr : it;
}

std::string textOf(const Cells &cells, const char *column) {
  auto it = cells.find(column);
  return it == cells.end() ? std::string() : it->second;
}

uint64_t numberOf(const Cells &cells, const char *column, uint64_t fallback) {
  uint64_t value = fallback;
  auto it = cells.find(column);
  if (it != cells.end() && !parseNumber(it->second, value))
    return fallback;
  return value;
}

} // namespace

std::string_view rowKindName(RowKind kind) {
  return KindNames[static_cast<size_t>(kind)];
}

std::string rowText(const RowId &id) {
  return std::string(rowKindName(id.Kind)) + " " + id.Name;
}

std::optional<RowKind> rowKindFromName(std::string_view name) {
  const auto *it = std::find(KindNames.begin(), KindNames.end(), name);
  if (it == KindNames.end())
    return std::nullopt;
  return static_cast<RowKind>(it - KindNames.begin());
}

std::vector<Fault> validateRow(const RowId &id, const Cells &cells) {
  std::vector<Fault> faults;
  if (!isName(id.Name))
    faults.push_back({C::Name, id.Name,
                      "1 to 128 printable characters without space , ; or \""});
  for (const auto &[column, cell] : cells) {
    const ColumnRule *rule = findRule(id.Kind, column);
    std::string kind(rowKindName(id.Kind));
    if (!rule) {
      faults.push_back(
          {column, cell, "nothing: a " + kind + " row has no such column"});
      continue;
    }
    if (std::string allowed = violation(*rule, cell); !allowed.empty())
      faults.push_back({column, cell, allowed});
  }
  for (const ColumnRule &rule : Rules)
    if (rule.Kind == id.Kind && rule.Required && !cells.count(rule.Column))
      faults.push_back(
          {rule.Column, "", std::string("a value: ") + rule.Meaning});
  return faults;
}

std::string describeSchema() {
  std::ostringstream out;
  for (const ColumnRule &rule : Rules)
    out << rowKindName(rule.Kind) << '\t' << rule.Column << '\t'
        << (rule.Required ? "required" : "optional") << '\t'
        << (rule.Type == CellType::Number ? allowedNumber(rule) + "; " : "")
        << rule.Meaning << '\n';
  return out.str();
}

ModelSpec modelFrom(const Cells &cells) {
  ModelSpec spec;
  spec.Weights = textOf(cells, C::Weights);
  spec.MemoryMb = numberOf(cells, C::MemoryMb, 0);
  spec.KvCacheMb = numberOf(cells, C::KvCacheMb, 0);
  spec.MinReplicas = static_cast<uint32_t>(numberOf(cells, C::MinReplicas, 0));
  spec.MaxReplicas = static_cast<uint32_t>(numberOf(cells, C::MaxReplicas, 1));
  spec.Teams = teamsOf(textOf(cells, C::Teams));
  return spec;
}

AdapterSpec adapterFrom(const Cells &cells) {
  return {textOf(cells, C::Base), textOf(cells, C::Weights),
          numberOf(cells, C::MemoryMb, 0), teamsOf(textOf(cells, C::Teams))};
}

ServiceSpec serviceFrom(const Cells &cells) {
  return {textOf(cells, C::Prefix), textOf(cells, C::Idempotent) == "yes",
          textOf(cells, C::Open) == "yes", teamsOf(textOf(cells, C::Teams))};
}

TeamSpec teamFrom(const Cells &cells) {
  return {numberOf(cells, C::RateTokensPerS, 0),
          numberOf(cells, C::BurstTokens, 0),
          static_cast<uint32_t>(numberOf(cells, C::Priority, 0))};
}

KeySpec keyFrom(const Cells &cells) {
  return {textOf(cells, C::Team), textOf(cells, C::KeyHash)};
}

} // namespace Table
