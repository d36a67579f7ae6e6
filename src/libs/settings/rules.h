#ifndef SETTINGS_RULES_H
#define SETTINGS_RULES_H

#include "settings/settings.h"

#include <nlohmann/json.hpp>
#include <span>

namespace Settings::Internal {

enum class ValueType { Text, Number, Address, AddressList };

/// One setting: how it is checked and where it is stored.
struct Rule {
  const char *Section;
  const char *Name;
  ValueType Type;
  bool Required;
  uint64_t Min;
  uint64_t Max;
  /// Value used when the setting is missing, as JSON text.
  const char *Default;
  const char *Meaning;
  void (*Store)(DaemonSettings &, const nlohmann::json &);
};

std::span<const Rule> rules();

/// What the rule allows, for messages and the reference.
std::string allowedText(const Rule &rule);

/// Parses `HOST:PORT` with a numeric host; returns false when malformed.
bool parseHostPort(std::string_view text, HostPort &address);

} // namespace Settings::Internal

#endif // SETTINGS_RULES_H
