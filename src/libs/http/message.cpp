#include "http/message.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <ostream>

// Boost's string view uses std::ostream without including it.
#include <boost/beast/http/status.hpp>

namespace Http {

namespace {

char toLower(char c) { return c >= 'A' && c <= 'Z' ? char(c - 'A' + 'a') : c; }

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

/// Removes the first element of a comma-separated list and returns it.
std::string_view nextElement(std::string_view &list) {
  size_t comma = list.find(',');
  std::string_view item = list.substr(0, comma);
  list = comma == std::string_view::npos ? std::string_view()
                                         : list.substr(comma + 1);
  return trimmed(item);
}

} // namespace

bool equalsIgnoreCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](char a, char b) { return toLower(a) == toLower(b); });
}

void Fields::add(std::string_view name, std::string_view value) {
  List.push_back({std::string(name), std::string(value)});
}

const std::string *Fields::find(std::string_view name) const {
  for (const Field &it : List)
    if (equalsIgnoreCase(it.Name, name))
      return &it.Value;
  return nullptr;
}

void Fields::erase(std::string_view name) {
  std::erase_if(
      List, [&](const Field &it) { return equalsIgnoreCase(it.Name, name); });
}

bool isHopByHop(std::string_view name) {
  static constexpr std::array<std::string_view, 9> names = {
      "connection",         "keep-alive", "proxy-connection",
      "proxy-authenticate", "te",         "trailer",
      "transfer-encoding",  "upgrade",    "content-length"};
  return std::any_of(names.begin(), names.end(), [&](std::string_view it) {
    return equalsIgnoreCase(it, name);
  });
}

std::string_view pathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

void toOriginForm(Request &request) {
  for (std::string_view scheme : {"http://", "https://"}) {
    std::string_view target = request.Target;
    if (!equalsIgnoreCase(target.substr(0, scheme.size()), scheme))
      continue;
    target.remove_prefix(scheme.size());
    size_t end = std::min(target.find_first_of("/?"), target.size());
    request.Headers.erase("Host");
    request.Headers.add("Host", target.substr(0, end));
    std::string origin(target.substr(end));
    if (origin.empty() || origin[0] != '/')
      origin.insert(0, "/");
    request.Target = std::move(origin);
    return;
  }
}

std::optional<unsigned> keepAliveSeconds(const Fields &headers) {
  const std::string *value = headers.find("Keep-Alive");
  if (!value)
    return std::nullopt;
  std::string_view list = *value;
  constexpr std::string_view key = "timeout=";
  while (!list.empty()) {
    std::string_view item = nextElement(list);
    if (item.size() <= key.size() ||
        !equalsIgnoreCase(item.substr(0, key.size()), key))
      continue;
    unsigned seconds = 0;
    item.remove_prefix(key.size());
    if (std::from_chars(item.data(), item.data() + item.size(), seconds).ec ==
        std::errc())
      return seconds;
  }
  return std::nullopt;
}

bool closesConnection(const Fields &headers) {
  const std::string *value = headers.find("Connection");
  std::string_view list = value ? *value : std::string_view();
  while (!list.empty())
    if (equalsIgnoreCase(nextElement(list), "close"))
      return true;
  return false;
}

std::string_view reasonPhrase(unsigned status) {
  auto text = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(status));
  return {text.data(), text.size()};
}

void appendField(std::string &text, std::string_view name,
                 std::string_view value) {
  text.append(name).append(": ").append(value).append("\r\n");
}

std::string serializeRequest(const Request &request) {
  std::string text;
  text.reserve(512 + request.Body.size());
  text.append(request.Method).append(" ").append(request.Target);
  text.append(" HTTP/1.1\r\n");
  for (const Field &it : request.Headers)
    appendField(text, it.Name, it.Value);
  if (!request.Body.empty() || request.Method != "GET")
    appendField(text, "Content-Length", std::to_string(request.Body.size()));
  text.append("\r\n").append(request.Body);
  return text;
}

std::string serializeResponseStart(const ResponseHead &head) {
  std::string text = "HTTP/1.1 " + std::to_string(head.Status) + " ";
  text.append(head.Reason.empty() ? reasonPhrase(head.Status)
                                  : std::string_view(head.Reason));
  text.append("\r\n");
  for (const Field &it : head.Headers)
    appendField(text, it.Name, it.Value);
  return text;
}

void appendChunk(std::string &text, std::string_view data) {
  if (data.empty())
    return;
  std::array<char, 20> buf;
  auto end =
      std::to_chars(buf.data(), buf.data() + buf.size(), data.size(), 16);
  text.append(buf.data(), end.ptr).append("\r\n").append(data).append("\r\n");
}

} // namespace Http
