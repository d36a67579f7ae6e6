#ifndef HTTP_REQUESTPARSER_H
#define HTTP_REQUESTPARSER_H

#include "http/message.h"

#include <memory>
#include <string>

namespace Http {

struct RequestLimits {
  uint32_t HeaderBytes = 16384;
  uint64_t BodyBytes = 4194304;
};

enum class RequestState : uint8_t {
  Incomplete,
  Complete,
  HeadTooLarge, ///< Respond with status 431.
  BodyTooLarge, ///< Respond with status 413.
  Malformed,    ///< Respond with status 400.
};

/// Incrementally parses the consecutive requests of a connection.
class RequestParser {
public:
  explicit RequestParser(RequestLimits limits);
  ~RequestParser();
  RequestParser(RequestParser &&) noexcept;
  RequestParser &operator=(RequestParser &&) noexcept;

  /// Parses `input` and erases the consumed bytes. After Complete, call take()
  /// before the next feed().
  RequestState feed(std::string &input);
  /// Whether any part of the current request has been parsed.
  bool hasStarted() const;
  /// Returns the complete request and resets the parser for the next one.
  Request take(RequestLimits limits);

private:
  struct Content;
  std::unique_ptr<Content> Data;
};

} // namespace Http

#endif // HTTP_REQUESTPARSER_H
