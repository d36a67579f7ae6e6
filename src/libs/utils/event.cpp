#include "utils/event.h"

#include "utils/clock.h"

#include <algorithm>
#include <ctime>
#include <glog/logging.h>
#include <iomanip>
#include <mutex>

namespace Utils {

namespace {

bool needsQuotes(std::string_view value) {
  return value.empty() || std::any_of(value.begin(), value.end(), [](char c) {
           return static_cast<unsigned char>(c) <= ' ' || c == '"' ||
                  c == '=' || c == '\\' || c == 0x7f;
         });
}

void appendQuoted(std::string &out, std::string_view value) {
  static constexpr char hex[] = "0123456789abcdef";
  out += '"';
  for (char c : value) {
    auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (byte < ' ' || byte == 0x7f) {
      out += "\\x";
      out += hex[byte >> 4];
      out += hex[byte & 15];
    } else {
      out += c;
    }
  }
  out += '"';
}

/// `time=2026-01-31T08:15:00.123Z level=LEVEL `, in UTC.
std::string stamp(const char *level) {
  constexpr int64_t msPerSecond = 1000;
  int64_t ms = Clock().WallMs();
  auto seconds = static_cast<std::time_t>(ms / msPerSecond);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::ostringstream out;
  out << "time=" << std::put_time(&utc, "%Y-%m-%dT%H:%M:%S.") << std::setw(3)
      << std::setfill('0') << ms % msPerSecond << "Z level=" << level << ' ';
  return out.str();
}

/// Writes one line at a time. glog reads the time zone for each line, which the
/// C library does under a lock of its own that sanitizers do not see.
void write(google::LogSeverity severity, const char *level,
           const std::string &line) {
  static std::mutex mutex;
  std::lock_guard lock(mutex);
  google::LogMessage(__FILE__, __LINE__, severity).stream()
      << stamp(level) << line;
}

} // namespace

Event::Event(std::string_view name) : Line("event=") { Line += name; }

Event &Event::with(std::string_view key, std::string_view value) {
  Line += ' ';
  Line += key;
  Line += '=';
  if (needsQuotes(value))
    appendQuoted(Line, value);
  else
    Line += value;
  return *this;
}

void Event::info() const { write(google::GLOG_INFO, "info", Line); }
void Event::warning() const { write(google::GLOG_WARNING, "warning", Line); }
void Event::error() const { write(google::GLOG_ERROR, "error", Line); }

} // namespace Utils
