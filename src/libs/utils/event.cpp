#include "utils/event.h"

#include "utils/eventlog.h"

#include <algorithm>

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

} // namespace

Event::Event(std::string_view name) : Name(name) {}

Event &Event::with(std::string_view key, std::string_view value) {
  Fields += ' ';
  Fields += key;
  Fields += '=';
  if (needsQuotes(value))
    appendQuoted(Fields, value);
  else
    Fields += value;
  return *this;
}

std::string Event::line() const { return "event=" + Name + Fields; }

void Event::info() const { Internal::report(EventLevel::Info, Name, Fields); }
void Event::warning() const {
  Internal::report(EventLevel::Warning, Name, Fields);
}
void Event::error() const { Internal::report(EventLevel::Error, Name, Fields); }

} // namespace Utils
