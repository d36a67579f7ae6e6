#ifndef UTILS_EVENT_H
#define UTILS_EVENT_H

#include <sstream>
#include <string>
#include <string_view>

namespace Utils {

/// One structured log line: `event=NAME key=value ...`. Values with spaces,
/// quotes or control characters are quoted and escaped.
class Event {
public:
  explicit Event(std::string_view name);

  Event &with(std::string_view key, std::string_view value);
  template <typename T> Event &with(std::string_view key, const T &value) {
    std::ostringstream out;
    out << value;
    return with(key, std::string_view(out.str()));
  }

  /// The line without time and level.
  std::string line() const;

  /// Writes the line to the log.
  void info() const;
  void warning() const;
  void error() const;

private:
  std::string Name;
  std::string Pairs;
};

} // namespace Utils

#endif // UTILS_EVENT_H
