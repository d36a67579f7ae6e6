#ifndef HTTP_RESPONSEPARSER_H
#define HTTP_RESPONSEPARSER_H

#include "http/message.h"

#include <memory>
#include <string>

namespace Http {

enum class ResponseState : uint8_t {
  Head, ///< The head is not complete.
  Body, ///< The head is complete, the body is not.
  Complete,
  Malformed,
};

/// Incrementally parses the responses of a connection, one at a time.
class ResponseParser {
public:
  ResponseParser();
  ~ResponseParser();
  ResponseParser(ResponseParser &&) noexcept;
  ResponseParser &operator=(ResponseParser &&) noexcept;

  /// Parses `input`, erases the consumed bytes and appends decoded body bytes
  /// to `body`.
  ResponseState feed(std::string &input, std::string &body);
  /// Call when the peer has closed its side. Returns Complete if the body is
  /// delimited by the end of the connection.
  ResponseState finish();
  /// Whether any part of the current response has been parsed.
  bool hasStarted() const;

  /// Valid once the head is complete.
  const ResponseHead &head() const;
  Framing framing() const;
  /// Whether the connection can be reused after this response.
  bool keepAlive() const;

  /// Discards all state and prepares for the next response.
  void reset();

private:
  struct Content;
  std::unique_ptr<Content> Data;
};

} // namespace Http

#endif // HTTP_RESPONSEPARSER_H
