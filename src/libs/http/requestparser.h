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
  HeadTooLarge, ///< Answer 431.
  BodyTooLarge, ///< Answer 413.
  Malformed,    ///< Answer 400.
};

/// Parses requests, one after another, from the bytes of a connection.
class RequestParser {
public:
  explicit RequestParser(RequestLimits limits);
  ~RequestParser();
  RequestParser(RequestParser &&) noexcept;
  RequestParser &operator=(RequestParser &&) noexcept;

  /// Parses from the start of `input` and erases what it consumed. After
  /// Complete, take() must be called before the next feed().
  RequestState feed(std::string &input);
  /// Whether a part of a request has been consumed.
  bool begun() const;
  /// The complete request; the parser is ready for the next one.
  Request take(RequestLimits limits);

private:
  struct Content;
  std::unique_ptr<Content> Data;
};

} // namespace Http

#endif // HTTP_REQUESTPARSER_H
