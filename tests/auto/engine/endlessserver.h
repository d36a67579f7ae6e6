#ifndef TESTS_ENGINE_ENDLESSSERVER_H
#define TESTS_ENGINE_ENDLESSSERVER_H

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

/// Loopback server that answers one request with `begin` and then repeats
/// `repeated`, until its client closes the connection or it has sent
/// MaxSentBytes.
class EndlessServer {
public:
  static constexpr size_t MaxSentBytes = 128 << 20;

  EndlessServer(std::string begin, std::string repeated);
  ~EndlessServer();

  uint16_t port() const { return Port; }
  /// Waits until the server has stopped sending; returns the bytes that it has
  /// sent.
  size_t awaitSent();

private:
  void run();

  std::string Begin;
  std::string Repeated;
  int Listener = -1;
  uint16_t Port = 0;
  std::atomic<bool> Stopping = false;
  size_t SentBytes = 0;
  std::thread Thread;
};

#endif // TESTS_ENGINE_ENDLESSSERVER_H
