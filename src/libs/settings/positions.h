#ifndef SETTINGS_POSITIONS_H
#define SETTINGS_POSITIONS_H

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Settings::Internal {

/// Where the sections and settings of a file are named.
class Positions {
public:
  /// Reads text that is JSON with comments.
  explicit Positions(std::string_view text);

  /// Line of the setting, or of its section when the setting is missing or its
  /// name is empty, or 1.
  size_t lineOf(const std::string &section, const std::string &name) const;

  /// A name that stands more than once in its object.
  struct Repeated {
    size_t Line = 0;
    std::string Path;
  };
  const std::vector<Repeated> &repeated() const { return Again; }

  /// Notes a name; for the reader of the text.
  void note(const std::string &section, const std::string &name, size_t line);

private:
  std::map<std::pair<std::string, std::string>, size_t> Lines;
  std::vector<Repeated> Again;
};

} // namespace Settings::Internal

#endif // SETTINGS_POSITIONS_H
