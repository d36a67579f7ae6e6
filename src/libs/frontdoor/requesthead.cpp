#include "frontdoor/requesthead.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace FrontDoor::Internal {

namespace {

using Utils::Errc;
using Utils::failure;

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view Blanks = " \t";
constexpr std::array<std::string_view, 7> Methods = {
    "GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"};
constexpr std::array<std::string_view, 3> BodylessMethods = {"GET", "HEAD",
                                                             "OPTIONS"};
/// Headers that the system uses; each may be sent once.
constexpr std::array<std::string_view, 10> UsedHeaders = {
    "host",   "content-length",  "transfer-encoding", "connection",
    "expect", "authorization",   "content-type",      "x-deadline-ms",
    "accept", "idempotency-key",
};
/// Headers that the parser behind must not see.
constexpr std::array<std::string_view, 2> HiddenHeaders = {"host", "accept"};
constexpr std::array<std::string_view, 3> KeyParameters = {"key", "api_key",
                                                           "access_token"};

template <size_t N>
bool isOneOf(const std::array<std::string_view, N> &names,
             std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::string lower(std::string_view text) {
  std::string out(text);
  for (char &it : out)
    if (it >= 'A' && it <= 'Z')
      it = static_cast<char>(it - 'A' + 'a');
  return out;
}

bool isTokenChar(char c) {
  constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
         (c >= 'A' && c <= 'Z') || marks.find(c) != marks.npos;
}

bool isToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), isTokenChar);
}

bool isValueChar(char c) {
  return c == '\t' || (static_cast<unsigned char>(c) >= ' ' && c != 0x7f);
}

std::string_view trimmed(std::string_view text) {
  size_t begin = text.find_first_not_of(Blanks);
  if (begin == text.npos)
    return {};
  return text.substr(begin, text.find_last_not_of(Blanks) - begin + 1);
}

Utils::Status parseRequestLine(std::string_view line, RequestHead &head) {
  size_t first = line.find(' ');
  size_t last = line.rfind(' ');
  if (first == line.npos || first == last)
    return failure(Errc::InvalidArgument, "malformed request line");
  head.Method = line.substr(0, first);
  head.Target = line.substr(first + 1, last - first - 1);
  std::string_view version = line.substr(last + 1);
  if (!isOneOf(Methods, head.Method))
    return failure(Errc::InvalidArgument, "unknown method");
  bool plain = !head.Target.empty() && head.Target[0] == '/' &&
               std::all_of(head.Target.begin(), head.Target.end(), [](char c) {
                 return c > ' ' && c <= '~' && c != '#';
               });
  if (!plain)
    return failure(Errc::InvalidArgument, "malformed request target");
  if (version != "HTTP/1.1" && version != "HTTP/1.0")
    return failure(Errc::InvalidArgument, "unknown HTTP version");
  return Utils::success();
}

Utils::Status parseHeader(std::string_view line, RequestHead &head) {
  size_t colon = line.find(':');
  if (colon == line.npos || !isToken(line.substr(0, colon)))
    return failure(Errc::InvalidArgument, "malformed header line");
  std::string_view value = trimmed(line.substr(colon + 1));
  if (!std::all_of(value.begin(), value.end(), isValueChar))
    return failure(Errc::InvalidArgument, "control character in a header");
  if (head.Headers.size() == MaxHeaders)
    return failure(Errc::OutOfRange, "too many headers");
  std::string name = lower(line.substr(0, colon));
  bool repeated = std::any_of(head.Headers.begin(), head.Headers.end(),
                              [&](const auto &it) { return it.first == name; });
  if (repeated && isOneOf(UsedHeaders, name))
    return failure(Errc::InvalidArgument, "header " + name + " sent twice");
  head.Headers.emplace_back(std::move(name), value);
  return Utils::success();
}

std::optional<std::string> valueOf(const RequestHead &head,
                                   std::string_view name) {
  for (const auto &[key, value] : head.Headers)
    if (key == name)
      return value;
  return std::nullopt;
}

/// Settles how long the body is, without leaving room for a second reading.
Utils::Status parseFraming(RequestHead &head) {
  auto length = valueOf(head, "content-length");
  auto coding = valueOf(head, "transfer-encoding");
  if (length && coding)
    return failure(Errc::InvalidArgument,
                   "Content-Length together with Transfer-Encoding");
  if (coding && lower(*coding) != "chunked")
    return failure(Errc::InvalidArgument, "unknown Transfer-Encoding");
  head.Chunked = coding.has_value();
  if (length) {
    const char *end = length->data() + length->size();
    auto [at, ec] = std::from_chars(length->data(), end, head.ContentLength);
    if (ec != std::errc() || at != end)
      return failure(Errc::InvalidArgument, "malformed Content-Length");
  }
  bool hasBody = head.Chunked || head.ContentLength > 0;
  if (hasBody && isOneOf(BodylessMethods, head.Method))
    return failure(Errc::InvalidArgument, "this method takes no body");
  return Utils::success();
}

} // namespace

Utils::Outcome<RequestHead> parseHead(std::string_view text) {
  RequestHead head;
  bool first = true;
  while (!text.empty()) {
    size_t n = text.find(LineEnd);
    if (n == text.npos)
      return failure(Errc::InvalidArgument, "unfinished header line");
    std::string_view line = text.substr(0, n);
    text.remove_prefix(n + LineEnd.size());
    if (line.empty())
      break;
    auto status =
        first ? parseRequestLine(line, head) : parseHeader(line, head);
    if (!status)
      return status.error();
    first = false;
  }
  if (first)
    return failure(Errc::InvalidArgument, "empty request");
  if (auto framing = parseFraming(head); !framing)
    return framing.error();
  return head;
}

std::string headForParser(const RequestHead &head) {
  std::string out = head.Method + " " + head.Target + " HTTP/1.1\r\n";
  for (const auto &[name, value] : head.Headers) {
    if (!isOneOf(UsedHeaders, name) || isOneOf(HiddenHeaders, name))
      continue;
    out += name == "content-type" ? std::string(BodyTypeHeader) : name;
    out += ": ";
    out += value;
    out += LineEnd;
  }
  out += LineEnd;
  return out;
}

std::string withoutCredentials(std::string_view target) {
  size_t mark = target.find('?');
  std::string out(target.substr(0, mark));
  if (mark == target.npos)
    return out;
  std::string_view query = target.substr(mark + 1);
  char joint = '?';
  while (!query.empty()) {
    size_t n = std::min(query.find('&'), query.size());
    std::string_view parameter = query.substr(0, n);
    query.remove_prefix(std::min(n + 1, query.size()));
    std::string name = lower(parameter.substr(0, parameter.find('=')));
    if (parameter.empty() || isOneOf(KeyParameters, name))
      continue;
    out += joint;
    out += parameter;
    joint = '&';
  }
  return out;
}

} // namespace FrontDoor::Internal
