#include "settings/settings.h"
#include "settings/positions.h"
#include "settings/rules.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace Settings {

namespace {

using Internal::Rule;
using Internal::ValueType;
using Json = nlohmann::json;

bool isAllowedText(const Rule &rule, const Json &value) {
  if (!value.is_string())
    return false;
  size_t n = value.get_ref<const std::string &>().size();
  return n >= rule.Min && n <= rule.Max;
}

bool isAddress(const Json &value) {
  HostPort address;
  return value.is_string() &&
         Internal::parseHostPort(value.get_ref<const std::string &>(), address);
}

bool isAllowed(const Rule &rule, const Json &value) {
  switch (rule.Type) {
  case ValueType::Text:
    return isAllowedText(rule, value);
  case ValueType::Number:
    return value.is_number_unsigned() && value.get<uint64_t>() >= rule.Min &&
           value.get<uint64_t>() <= rule.Max;
  case ValueType::Address:
    return isAddress(value);
  case ValueType::AddressList:
    return value.is_array() &&
           std::all_of(value.begin(), value.end(), isAddress);
  }
  return false;
}

/// Finds the rule of a setting, or any rule of the section if `name` is empty.
const Rule *findRule(std::string_view section, std::string_view name) {
  auto rules = Internal::rules();
  auto it = std::find_if(rules.begin(), rules.end(), [&](const Rule &rule) {
    return rule.Section == section && (name.empty() || rule.Name == name);
  });
  return it == rules.end() ? nullptr : &*it;
}

/// Reports sections and settings that no rule describes.
void findUnknownNames(const Json &root, const Internal::Positions &positions,
                      const std::string &file, std::vector<Fault> &faults) {
  for (const auto &[section, members] : root.items()) {
    if (!findRule(section, "")) {
      faults.push_back({file, positions.lineOf(section, ""), section,
                        "an unknown section", "the sections of the reference"});
      continue;
    }
    if (!members.is_object()) {
      faults.push_back({file, positions.lineOf(section, ""), section,
                        members.dump(), "an object"});
      continue;
    }
    for (const auto &[name, value] : members.items()) {
      if (findRule(section, name))
        continue;
      std::string path = section;
      path.append(".").append(name);
      faults.push_back({file, positions.lineOf(section, name), std::move(path),
                        "an unknown name", "the names of the reference"});
    }
  }
}

/// Checks the setting of the rule and stores its value, or its default if the
/// setting is missing.
void applyRule(const Rule &rule, const Json &root,
               const Internal::Positions &positions, const std::string &file,
               LoadResult &result) {
  std::string path = std::string(rule.Section) + "." + rule.Name;
  const Json *value = nullptr;
  auto section = root.find(rule.Section);
  if (section != root.end() && section->is_object())
    if (auto member = section->find(rule.Name); member != section->end())
      value = &*member;
  if (!value) {
    if (rule.Required)
      result.Faults.push_back({file, positions.lineOf(rule.Section, ""), path,
                               "nothing", Internal::allowedText(rule)});
    else
      rule.Store(result.Values, Json::parse(rule.Default));
    return;
  }
  if (!isAllowed(rule, *value)) {
    result.Faults.push_back({file, positions.lineOf(rule.Section, rule.Name),
                             path, value->dump(), Internal::allowedText(rule)});
    return;
  }
  rule.Store(result.Values, *value);
}

} // namespace

std::string faultText(const Fault &fault) {
  return fault.File + ":" + std::to_string(fault.Line) + ": " + fault.Name +
         ": found " + fault.Found + ", allowed is " + fault.Allowed;
}

LoadResult parseSettings(std::string_view text, const std::string &file) {
  LoadResult result;
  Json root;
  try {
    root = Json::parse(text, nullptr, true, true);
  } catch (const Json::parse_error &e) {
    auto at =
        text.begin() + static_cast<long>(std::min<size_t>(e.byte, text.size()));
    size_t line = 1 + static_cast<size_t>(std::count(text.begin(), at, '\n'));
    result.Faults.push_back(
        {file, line, "syntax", e.what(), "JSON with comments"});
    return result;
  }
  if (!root.is_object()) {
    result.Faults.push_back({file, 1, "file", root.type_name(), "an object"});
    return result;
  }
  Internal::Positions positions(text);
  for (const auto &it : positions.duplicates())
    result.Faults.push_back(
        {file, it.Line, it.Path, "a second value", "each name once"});
  findUnknownNames(root, positions, file, result.Faults);
  for (const Rule &rule : Internal::rules())
    applyRule(rule, root, positions, file, result);
  return result;
}

LoadResult loadSettings(const std::string &file) {
  std::ifstream in(file);
  if (!in) {
    LoadResult result;
    result.Faults.push_back({file, 0, "file", "nothing readable", "a file"});
    return result;
  }
  std::ostringstream text;
  text << in.rdbuf();
  return parseSettings(text.str(), file);
}

std::string describeRules() {
  std::ostringstream out;
  out << "| setting | allowed | default | meaning |\n|---|---|---|---|\n";
  for (const Rule &rule : Internal::rules())
    out << "| `" << rule.Section << '.' << rule.Name << "` | "
        << Internal::allowedText(rule) << " | "
        << (rule.Default ? rule.Default : "required") << " | " << rule.Meaning
        << " |\n";
  return out.str();
}

} // namespace Settings
