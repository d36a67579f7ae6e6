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

/// Header fields in the order of their arrival. Names compare without case.
class Fields {
public:
  void add(std::string_view name, std::string_view value);
  /// Value of the first field of that name; null when there is none.
  const std::string *find(std::string_view name) const;
  /// Removes every field of that name.
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
  /// The caller keeps the connection open for further requests.
  bool KeepAlive = true;
};

struct ResponseHead {
  unsigned Status = 0;
  std::string Reason;
  Fields Headers;
};

/// How the receiver finds the end of a body.
enum class Framing : uint8_t {
  Length,  ///< Content-Length, or no body at all.
  Chunked, ///< Transfer-Encoding: chunked.
  Close,   ///< The body ends with the connection.
};

bool equalNames(std::string_view left, std::string_view right);

/// Fields that concern one connection only and are not forwarded, such as
/// Connection or Transfer-Encoding.
bool isHopByHop(std::string_view name);

/// The path of a request target, without its query.
std::string_view pathOf(std::string_view target);

/// Value of the parameter `timeout` of a Keep-Alive field, in seconds.
std::optional<unsigned> keepAliveSeconds(const Fields &headers);

/// Whether a Connection field lists `close`.
bool closesConnection(const Fields &headers);

/// Standard reason phrase of a status; empty for an unknown one.
std::string_view reasonOf(unsigned status);

/// Start line and fields of a request, up to the empty line. Adds the length
/// of the body.
std::string requestText(const Request &request);

/// Start line and fields of a response without any framing field, and without
/// the empty line that ends the head.
std::string responseStart(const ResponseHead &head);

void appendField(std::string &text, std::string_view name,
                 std::string_view value);

/// Appends `data` as one chunk of a chunked body; nothing for empty data.
void appendChunk(std::string &text, std::string_view data);

/// Ends a chunked body.
constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace Http

#endif // HTTP_MESSAGE_H
