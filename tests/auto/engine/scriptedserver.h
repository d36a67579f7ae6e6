#ifndef TESTS_ENGINE_SCRIPTEDSERVER_H
#define TESTS_ENGINE_SCRIPTEDSERVER_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

/// A request that the server received.
struct ReceivedRequest {
  /// Value of X-Request-Id.
  std::string Id;
  /// Index of the connection, and of the request on it, from 0.
  int Connection = 0;
  int Number = 0;
};

/// Reply of the server to a request: the bytes that it sends, and whether it
/// closes the connection afterwards.
struct ScriptedReply {
  std::string Bytes;
  bool Close = false;
};

/// Loopback server for one connection at a time. A script determines the exact
/// bytes of each reply.
class ScriptedServer {
public:
  using Script = std::function<ScriptedReply(const ReceivedRequest &)>;

  explicit ScriptedServer(Script script);
  ~ScriptedServer();

  uint16_t port() const { return Port; }
  /// Connections that the server has accepted.
  int connections() const { return Connections; }
  /// Sends unsolicited bytes over the open connection, and returns when the
  /// peer has acknowledged them.
  void push(const std::string &bytes) const;

private:
  void run();
  void serve(int socket, int connection);

  Script Reply;
  int Listener = -1;
  uint16_t Port = 0;
  std::atomic<int> Connections = 0;
  std::atomic<int> OpenSocket = -1;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

/// Returns a complete response that carries the request id; none if the id is
/// empty.
std::string completeResponse(const std::string &id, const std::string &body);

#endif // TESTS_ENGINE_SCRIPTEDSERVER_H
