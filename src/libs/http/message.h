#ifndef HTTP_MESSAGE_H
#define HTTP_MESSAGE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Http {

struct Field {
  std::string Name;
  std::string Value;
};

/// Header fields in the order received. Field names are case-insensitive.
class Fields {
public:
  void add(std::string_view name, std::string_view value);
  /// The value of the first field called `name`, or null.
  const std::string *find(std::string_view name) const;
  /// Removes all fields called `name`.
  void erase(std::string_view name);

  std::vector<Field>::const_iterator begin() const { return List.begin(); }
  std::vector<Field>::const_iterator end() const { return List.end(); }
  size_t size() const { return List.size(); }

private:
  std::vector<Field> List;
};

struct Request {
  std::string Method;
  std::string Target;
  Fields Headers;
  std::string Body;
  /// Whether the client keeps the connection open for further requests.
  bool KeepAlive = true;
};

struct ResponseHead {
  unsigned Status = 0;
  std::string Reason;
  Fields Headers;
};

/// How the end of a message body is determined.
enum class Framing : uint8_t {
  Length,  ///< Content-Length, or no body.
  Chunked, ///< Transfer-Encoding: chunked.
  Close,   ///< The body ends when the connection closes.
};

/// Compares ASCII strings, ignoring case.
bool equalsIgnoreCase(std::string_view left, std::string_view right);

/// Whether a header field applies to a single connection and must not be
/// forwarded, such as Connection or Transfer-Encoding.
bool isHopByHop(std::string_view name);

/// The path of a request target, without the query.
std::string_view pathOf(std::string_view target);

/// Rewrites a target in absolute form, such as http://HOST/PATH, to its path
/// and query, and sets Host to its authority, which counts in place of the
/// field (RFC 9112, section 3.2.2). Leaves other targets as they are.
void toOriginForm(Request &request);

/// The `timeout` parameter of the Keep-Alive field, in seconds.
std::optional<unsigned> keepAliveSeconds(const Fields &headers);

/// Whether the Connection field contains `close`.
bool closesConnection(const Fields &headers);

/// The standard reason phrase of a status code; empty if it is unknown.
std::string_view reasonPhrase(unsigned status);

/// Serializes a request including its body. Adds Content-Length unless the
/// request is a GET without a body.
std::string serializeRequest(const Request &request);

/// Serializes the status line and fields of a response. The caller appends the
/// framing field and the empty line that ends the head.
std::string serializeResponseStart(const ResponseHead &head);

/// Appends a header field line to `text`.
void appendField(std::string &text, std::string_view name,
                 std::string_view value);

/// Appends `data` as one chunk of a chunked body. Empty data appends nothing,
/// because an empty chunk would end the body.
void appendChunk(std::string &text, std::string_view data);

/// The empty chunk that ends a chunked body.
constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace Http

#endif // HTTP_MESSAGE_H
