#include "explain/explain.h"

#include <charconv>

namespace Explain {

namespace {

constexpr int HexBase = 16;

/// Parses a quoted value whose opening quote is at `at`, and moves `at` past
/// the closing quote; returns nothing if the quote or an escape is incomplete.
std::optional<std::string> quotedValue(std::string_view text, size_t &at) {
  std::string value;
  for (++at; at < text.size(); ++at) {
    if (text[at] == '"') {
      ++at;
      return value;
    }
    if (text[at] != '\\') {
      value += text[at];
      continue;
    }
    if (++at >= text.size())
      return std::nullopt;
    if (text[at] != 'x') {
      value += text[at];
      continue;
    }
    int code = 0;
    const char *begin = text.data() + at + 1;
    const char *end = text.data() + std::min(at + 3, text.size());
    if (std::from_chars(begin, end, code, HexBase).ptr != begin + 2)
      return std::nullopt;
    value += static_cast<char>(code);
    at += 2;
  }
  return std::nullopt;
}

/// Parses a value without quotes, and moves `at` to the space behind it.
std::string unquotedValue(std::string_view text, size_t &at) {
  size_t end = std::min(text.find(' ', at), text.size());
  std::string value(text.substr(at, end - at));
  at = end;
  return value;
}

} // namespace

const std::string &LogLine::field(const std::string &name) const {
  static const std::string empty;
  auto it = Fields.find(name);
  return it == Fields.end() ? empty : it->second;
}

int64_t LogLine::number(const std::string &name) const {
  int64_t value = 0;
  const std::string &text = field(name);
  auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return ec == std::errc() ? value : 0;
}

std::optional<LogLine> parseLine(std::string_view text) {
  LogLine line;
  line.Text = text;
  size_t at = 0;
  while (at < text.size()) {
    size_t equals = text.find('=', at);
    if (equals == std::string_view::npos)
      return std::nullopt;
    std::string name(text.substr(at, equals - at));
    at = equals + 1;
    std::optional<std::string> value;
    if (at < text.size() && text[at] == '"')
      value = quotedValue(text, at);
    else
      value = unquotedValue(text, at);
    if (!value)
      return std::nullopt;
    // Keeps the first value of a repeated name: the daemon that wrote the line
    // precedes a field of the event that is named daemon as well.
    line.Fields.try_emplace(name, std::move(*value));
    while (at < text.size() && text[at] == ' ')
      ++at;
  }
  line.Time = line.field("time");
  line.Daemon = line.field("daemon");
  line.Event = line.field("event");
  if (line.Time.empty() || line.Event.empty())
    return std::nullopt;
  return line;
}

} // namespace Explain
