#ifndef FRONTDOOR_REQUESTHEAD_H
#define FRONTDOOR_REQUESTHEAD_H

#include "utils/outcome.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace FrontDoor::Internal {

inline constexpr size_t MaxHeadBytes = 16384;
inline constexpr size_t MaxHeaders = 64;

/// Request line and headers of a request, checked for everything on which two
/// HTTP parsers could disagree (RFC 9112).
struct RequestHead {
  std::string Method;
  std::string Target;
  std::vector<std::pair<std::string, std::string>> Headers;
  bool Chunked = false;
  uint64_t ContentLength = 0;
};

/// Parses a head up to and including its empty line. Errc::OutOfRange: too many
/// headers; Errc::InvalidArgument: malformed or ambiguous.
Utils::Outcome<RequestHead> parseHead(std::string_view text);

/// The head as the parser behind gets it: only the headers that the system
/// uses, Content-Type under another name so that no form is decoded.
std::string headForParser(const RequestHead &head);

/// Name under which headForParser() passes Content-Type.
inline constexpr char BodyTypeHeader[] = "X-Body-Type";

/// Target without query parameters that carry a key.
std::string withoutCredentials(std::string_view target);

} // namespace FrontDoor::Internal

#endif // FRONTDOOR_REQUESTHEAD_H
