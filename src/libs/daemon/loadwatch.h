#ifndef DAEMON_LOADWATCH_H
#define DAEMON_LOADWATCH_H

#include "daemon/context.h"

#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>

namespace Daemon::Internal {

/// Threads that keep the load board: a few read the load reports of the engines
/// that this daemon watches, one asks another daemon at random for its board.
/// An engine that does not answer is asked less often and delays the others by
/// one reader at most.
class LoadWatch {
public:
  /// Registers the method by which others ask for the board.
  explicit LoadWatch(Context &context);
  ~LoadWatch();

  void start();
  void stop();

  /// Engines whose load this daemon is to read.
  std::vector<std::string> watched() const;

private:
  struct Watch {
    explicit Watch(const std::string &endpoint)
        : Source("load of " + endpoint, {}) {}

    Utils::DependencyMonitor Source;
    bool Asked = false;
    Utils::TimePoint NextAt;
  };

  void round();
  void askEngines();
  void askPeer();
  /// Asks by the list of engines; false when the other's list differs.
  bool askVector(const std::string &daemon);
  std::vector<std::string> engines() const;
  void readReports();
  void readReport(const std::string &endpoint);

  Context &Shared;
  Utils::BlockingQueue<std::string> Jobs;
  std::mutex Mutex;
  std::map<std::string, Watch> Watches;
  std::mt19937_64 Random;
  Utils::PeriodicThread Rounds;
  std::vector<std::thread> Readers;
};

} // namespace Daemon::Internal

#endif // DAEMON_LOADWATCH_H
