#ifndef HTTP_PARSERBASE_H
#define HTTP_PARSERBASE_H

#include <boost/beast/http/basic_parser.hpp>
#include <string>
#include <string_view>

namespace Http::Internal {

using ErrorCode = boost::beast::error_code;
using BeastStringView = boost::beast::string_view;

inline std::string_view toStringView(BeastStringView text) {
  return {text.data(), text.size()};
}

/// Limit on input that the parser has received but cannot parse yet.
constexpr size_t MaxUnparsedBytes = 65'536;

/// Limits the total size of the fields of a message, including trailers.
/// Beast's own header limit applies only to the bytes passed in one call, so a
/// header that arrives in small pieces would never exceed it.
class FieldSizeLimiter {
public:
  explicit FieldSizeLimiter(size_t limitBytes) : LimitBytes(limitBytes) {}
  void add(BeastStringView name, BeastStringView value, ErrorCode &ec) {
    constexpr size_t separators = 4;
    Bytes += name.size() + value.size() + separators;
    if (Bytes > LimitBytes)
      ec = boost::beast::http::error::header_limit;
  }

private:
  size_t LimitBytes;
  size_t Bytes = 0;
};

/// Feeds `input` to a Beast parser until the message is complete, parsing fails
/// or more input is needed. Erases the consumed bytes from `input`.
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
  // Beast does not limit the length of a chunk's size line.
  bool incomplete =
      ec == boost::beast::http::error::need_more && !parser.is_done();
  if (incomplete && input.size() > MaxUnparsedBytes)
    ec = boost::beast::http::error::bad_chunk_extension;
  return ec;
}

} // namespace Http::Internal

#endif // HTTP_PARSERBASE_H
