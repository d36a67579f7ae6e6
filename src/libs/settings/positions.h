#ifndef SETTINGS_POSITIONS_H
#define SETTINGS_POSITIONS_H

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Settings::Internal {

/// Line numbers of the sections and settings in a settings file.
class Positions {
public:
  /// Indexes the text, which is JSON with comments.
  explicit Positions(std::string_view text);

  /// Line of the setting; the line of its section if the setting is missing or
  /// `name` is empty; 1 if the section is missing as well.
  size_t lineOf(const std::string &section, const std::string &name) const;

  /// A name that occurs again in the same object.
  struct Duplicate {
    size_t Line = 0;
    std::string Path;
  };
  const std::vector<Duplicate> &duplicates() const { return Duplicates; }

  /// Adds the line of a name; called by the parser of the text.
  void add(const std::string &section, const std::string &name, size_t line);

private:
  std::map<std::pair<std::string, std::string>, size_t> Lines;
  std::vector<Duplicate> Duplicates;
};

} // namespace Settings::Internal

#endif // SETTINGS_POSITIONS_H
