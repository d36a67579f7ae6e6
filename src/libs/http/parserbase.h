#ifndef HTTP_PARSERBASE_H
#define HTTP_PARSERBASE_H

#include <boost/beast/http/basic_parser.hpp>
#include <string>
#include <string_view>

namespace Http::Internal {

using ErrorCode = boost::beast::error_code;
using Text = boost::beast::string_view;

inline std::string_view view(Text text) { return {text.data(), text.size()}; }

/// Most bytes that a parser keeps back until their meaning is known.
constexpr size_t LongestLineBytes = 65'536;

/// Adds up a message's fields, trailers included: Beast holds its limit against
/// the bytes that it is given at once, not against their sum.
class FieldMeter {
public:
  explicit FieldMeter(size_t limitBytes) : LimitBytes(limitBytes) {}
  void add(Text name, Text value, ErrorCode &ec) {
    constexpr size_t separators = 4;
    Bytes += name.size() + value.size() + separators;
    if (Bytes > LimitBytes)
      ec = boost::beast::http::error::header_limit;
  }

private:
  size_t LimitBytes;
  size_t Bytes = 0;
};

/// Feeds `input` to a Beast parser until it is done, fails or needs more, and
/// erases what was consumed.
template <class Parser> ErrorCode feedAll(Parser &parser, std::string &input) {
  ErrorCode ec;
  size_t used = 0;
  while (!parser.is_done() && used < input.size()) {
    size_t n = parser.put(
        boost::asio::buffer(input.data() + used, input.size() - used), ec);
    used += n;
    if (ec || n == 0)
      break;
  }
  input.erase(0, used);
  // Beast waits for the end of a chunk's size line however long that is.
  bool waits = ec == boost::beast::http::error::need_more && !parser.is_done();
  if (waits && input.size() > LongestLineBytes)
    ec = boost::beast::http::error::bad_chunk_extension;
  return ec;
}

} // namespace Http::Internal

#endif // HTTP_PARSERBASE_H
