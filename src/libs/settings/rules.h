#ifndef SETTINGS_RULES_H
#define SETTINGS_RULES_H

#include "settings/settings.h"

#include <nlohmann/json.hpp>
#include <span>

namespace Settings::Internal {

enum class ValueType { Text, Number, Address, AddressList };

/// Describes one setting: its name, the values that are allowed and the member
/// of DaemonSettings that holds its value.
struct Rule {
  const char *Section;
  const char *Name;
  ValueType Type;
  bool Required;
  /// Bounds of a number, or of the length of a text in bytes.
  uint64_t Min;
  uint64_t Max;
  /// Value that replaces a missing setting, as JSON text; null for a required
  /// setting.
  const char *Default;
  const char *Meaning;
  void (*Store)(DaemonSettings &, const nlohmann::json &);
};

/// The rules of all settings, in the order of the reference.
std::span<const Rule> rules();

/// Describes the allowed values, for error messages and the settings reference.
std::string allowedText(const Rule &rule);

/// Parses `HOST:PORT` with a numeric host; returns false if the text is
/// malformed.
bool parseHostPort(std::string_view text, HostPort &address);

} // namespace Settings::Internal

#endif // SETTINGS_RULES_H
