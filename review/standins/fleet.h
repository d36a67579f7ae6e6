#ifndef REVIEW_STANDINS_FLEET_H
#define REVIEW_STANDINS_FLEET_H

#include "record.h"
#include "store.h"

#include <nlohmann/json.hpp>
#include <sys/types.h>

namespace Review {

/// Loopback addresses of one script, apart from those of other processes.
std::string loopbackIp(int number);

/// The configuration that the operator writes: an unsafe route "book" to the
/// service "desk" and a safe route "view" to the service "roster", both without
/// models, and one tenant without a quota.
nlohmann::json deskConfiguration();

/// A gateway process, started by the command of the deploy file.
class Gateway {
public:
  /// `number`: its place in the fleet; `folder`: for its settings and log.
  Gateway(int number, const std::string &folder, const Store &store,
          Record &record);
  ~Gateway();
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;

  const std::string &name() const { return Name; }
  /// IP:PORT for clients.
  const std::string &address() const { return Front; }
  void start(bool firstStart);
  void signal(int number);
  /// Kills the process and waits for its end.
  void kill();
  /// Whether the process has ended by itself.
  bool hasEnded();
  bool isReady() const;

private:
  std::string Name;
  std::string Folder;
  std::string Front;
  std::string Ready;
  std::string StoreAddress;
  std::string Ip;
  std::string Command;
  uint16_t MetricsPort = 0;
  uint16_t InternalPort = 0;
  Record &Log;
  pid_t Pid = -1;
};

/// Waits until all gateways are ready; false after 20 s.
bool awaitReady(const std::vector<std::unique_ptr<Gateway>> &gateways);

/// A client that keeps its connection open, like those of the users.
class Client {
public:
  Client(std::string name, Record &record)
      : Name(std::move(name)), Log(record) {}
  /// Sends one request and returns the status of the answer, 0 if the
  /// connection ended without one, and -1 if the client gave up at its
  /// deadline. Records what was sent and answered.
  int request(const std::string &address, const std::string &method,
              const std::string &path, Milliseconds deadline);
  /// Closes the connection, so that the next request opens another one.
  void reconnect() { Connection.close(); }
  /// Retry-After of the last answer, in seconds; 0 if it had none.
  double retryAfter() const { return RetryAfter; }

private:
  std::string Name;
  Record &Log;
  Stream Connection;
  std::string Peer;
  int Sent = 0;
  double RetryAfter = 0;
};

/// Whether the script runs with the disruption: unless TROUBLE is 0.
bool hasTrouble();

} // namespace Review

#endif // REVIEW_STANDINS_FLEET_H
