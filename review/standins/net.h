#ifndef REVIEW_STANDINS_NET_H
#define REVIEW_STANDINS_NET_H

/// Blocking sockets and HTTP/1.1 messages for the stand-ins of the review.
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// A TCP connection; closed when the object is destroyed.
class Stream {
public:
  explicit Stream(int descriptor = -1) : Descriptor(descriptor) {}
  ~Stream() { close(); }
  Stream(Stream &&other) noexcept
      : Descriptor(std::exchange(other.Descriptor, -1)),
        Input(std::move(other.Input)) {}
  Stream &operator=(Stream &&other) noexcept;

  /// Connects to IP:PORT; an unconnected stream on failure or after 1 s.
  static Stream connect(const std::string &address);
  bool isOpen() const { return Descriptor >= 0; }
  void close();
  /// Ends a read or write of another thread.
  void interrupt() const;
  /// Sends all bytes; returns false if the connection is lost.
  bool send(const std::string &bytes) const;
  /// Appends what arrives to `input()`; false at the end or at the deadline.
  bool receive(Clock::time_point deadline);
  std::string &input() { return Input; }

private:
  int Descriptor;
  std::string Input;
};

struct Message {
  /// Method and target, or version and status.
  std::string First;
  std::string Second;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;

  /// Value of the field, compared without case; nullopt if it is missing.
  std::optional<std::string> field(const std::string &name) const;
  /// Status of a response; 0 for a request.
  int status() const;
};

/// Reads one message with a length, in chunks or without a body; nullopt if
/// the connection ends or the deadline passes before it is complete.
std::optional<Message> readMessage(Stream &stream, Clock::time_point deadline);

/// Accepts connections on a thread of its own and serves each on another one.
class Listener {
public:
  using Handler = std::function<void(Stream &)>;
  /// Listens at `ip` on a free port. Ends the process if that fails.
  Listener(const std::string &ip, Handler handler);
  ~Listener();
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;
  /// IP:PORT.
  const std::string &address() const { return Address; }
  /// Closes the listener and all its connections.
  void stop();

private:
  struct State;
  std::shared_ptr<State> Shared;
  std::string Address;
};

/// A port of `ip` that is free for TCP and UDP now.
uint16_t freePort(const std::string &ip);

/// Value of NAME in the query of a request target; empty if it is missing.
std::string queryValue(const std::string &target, const std::string &name);

} // namespace Review

#endif // REVIEW_STANDINS_NET_H
