#ifndef TESTS_ENGINE_SCRIPTEDSERVER_H
#define TESTS_ENGINE_SCRIPTEDSERVER_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

/// One request as the server saw it.
struct SeenRequest {
  std::string Id;
  /// Number of the connection, and of the request on it, from 0.
  int Connection = 0;
  int Number = 0;
};

/// What the server does with a request: the bytes it sends, and whether it
/// then closes the connection.
struct ScriptedReply {
  std::string Bytes;
  bool Close = false;
};

/// Serves one loopback connection at a time by a script, byte for byte.
class ScriptedServer {
public:
  using Script = std::function<ScriptedReply(const SeenRequest &)>;

  explicit ScriptedServer(Script script);
  ~ScriptedServer();

  uint16_t port() const { return Port; }
  int connections() const { return Connections; }
  /// Sends bytes that nobody asked for over the open connection, and returns
  /// when the peer has them.
  void push(const std::string &bytes) const;

private:
  void run();
  void serve(int socket, int connection);

  Script Reply;
  int Listener = -1;
  uint16_t Port = 0;
  std::atomic<int> Connections = 0;
  std::atomic<int> Open = -1;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

/// A whole answer with the id echoed, or without it when the id is empty.
std::string wholeAnswer(const std::string &id, const std::string &body);

#endif // TESTS_ENGINE_SCRIPTEDSERVER_H
