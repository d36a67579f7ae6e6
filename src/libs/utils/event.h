#ifndef UTILS_EVENT_H
#define UTILS_EVENT_H

#include <sstream>
#include <string>
#include <string_view>

namespace Utils {

/// Builds one structured log line: `event=NAME key=value ...`. Empty values and
/// those with spaces, quotes, `=`, backslashes or control characters are quoted
/// and escaped.
class Event {
public:
  explicit Event(std::string_view name);

  Event &with(std::string_view key, std::string_view value);
  template <typename T> Event &with(std::string_view key, const T &value) {
    std::ostringstream out;
    out << value;
    return with(key, std::string_view(out.str()));
  }

  /// The line without timestamp and level.
  std::string line() const;

  /// Write the line to the log at the given level.
  void info() const;
  void warning() const;
  void error() const;

private:
  std::string Name;
  std::string Fields;
};

} // namespace Utils

#endif // UTILS_EVENT_H
