#ifndef HTTP_PARSERBASE_H
#define HTTP_PARSERBASE_H

#include <boost/beast/http/basic_parser.hpp>
#include <string>
#include <string_view>

namespace Http::Internal {

using ErrorCode = boost::beast::error_code;
using Text = boost::beast::string_view;

inline std::string_view view(Text text) { return {text.data(), text.size()}; }

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
  return ec;
}

} // namespace Http::Internal

#endif // HTTP_PARSERBASE_H
