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

/// Parses one response at a time from the bytes of a connection.
class ResponseParser {
public:
  ResponseParser();
  ~ResponseParser();
  ResponseParser(ResponseParser &&) noexcept;
  ResponseParser &operator=(ResponseParser &&) noexcept;

  /// Parses from the start of `input`, erases what it consumed, and appends
  /// body bytes to `body`.
  ResponseState feed(std::string &input, std::string &body);
  /// The peer closed its side. Complete if the body ends with the connection.
  ResponseState finish();
  /// Whether any byte of this response has been consumed.
  bool begun() const;

  /// Valid once the head is complete.
  const ResponseHead &head() const;
  Framing framing() const;
  /// Whether the connection may serve another request after this response.
  bool keepAlive() const;

  /// Starts over for the next response.
  void reset();

private:
  struct Content;
  std::unique_ptr<Content> Data;
};

} // namespace Http

#endif // HTTP_RESPONSEPARSER_H
