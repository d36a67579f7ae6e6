#ifndef FRONTDOOR_CALLERSTREAM_H
#define FRONTDOOR_CALLERSTREAM_H

#include "frontdoor/requesthead.h"
#include "utils/utils.h"

#include <httplib.h>

#include <functional>

namespace FrontDoor::Internal {

/// Bounds of one request on a connection; times count from its first byte.
struct StreamLimits {
  uint64_t MaxBodyBytes = 0;
  Utils::Milliseconds HeadTimeout{5000};
  Utils::Milliseconds BodyTimeout{20000};
  /// Longest wait for a caller that does not take its answer.
  Utils::Milliseconds WriteTimeout{10000};
};

/// Connection of one caller as the HTTP parser sees it. Reads and checks each
/// head itself before the parser gets it, and counts bytes and time.
class CallerStream : public httplib::Stream {
public:
  enum class Fault : uint8_t { None, Malformed, TooLarge, TooSlow, Closed };

  CallerStream(socket_t socket, const StreamLimits &limits);

  /// Waits until the first byte of a request is there, at most to the deadline
  /// and only while `open` holds.
  bool waitForRequest(Utils::TimePoint deadline,
                      const std::function<bool()> &open);
  /// Reads a head; on success the parser can read it and the body.
  Fault readHead();
  /// What is wrong with the request, in words.
  const std::string &message() const { return Message; }
  /// Fault met while the parser read the body.
  Fault bodyFault() const { return BodyFault; }
  /// Whether the caller has closed the connection.
  bool callerLeft() const;
  /// Writes past the parser, also after a fault.
  bool writeRaw(std::string_view bytes);

  /// Ends the answer and drops what the caller still sends, for a short time: a
  /// close with unread bytes would reset the connection and lose the answer.
  void drain(Utils::TimePoint deadline);

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char *ptr, size_t size) override;
  ssize_t write(const char *ptr, size_t size) override;
  void get_remote_ip_and_port(std::string &ip, int &port) const override;
  void get_local_ip_and_port(std::string &ip, int &port) const override;
  socket_t socket() const override { return Socket; }

private:
  bool waitFor(short events, Utils::TimePoint deadline) const;
  /// Appends what the socket has to Received; false at the deadline or end.
  bool receive(Utils::TimePoint deadline);
  std::string_view pending() const;
  Fault fail(Fault fault, std::string message);

  socket_t Socket;
  StreamLimits Limits;
  /// Bytes from the caller; those before ReceivedAt were passed on.
  std::string Received;
  size_t ReceivedAt = 0;
  /// Head for the parser; it has read those bytes before HeadAt.
  std::string Head;
  size_t HeadAt = 0;
  uint64_t BodyBytes = 0;
  uint64_t MaxRawBodyBytes = 0;
  Utils::TimePoint BodyDeadline;
  Fault BodyFault = Fault::None;
  std::string Message;
};

} // namespace FrontDoor::Internal

#endif // FRONTDOOR_CALLERSTREAM_H
