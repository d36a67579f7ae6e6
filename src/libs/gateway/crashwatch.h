#ifndef GATEWAY_CRASHWATCH_H
#define GATEWAY_CRASHWATCH_H

#include "httpio/httpio.h"
#include "quarantine/quarantine.h"

#include <functional>
#include <map>
#include <string>

namespace Gateway {

/// Tells crashes of endpoints from single lost connections: after a call has
/// broken off, checks whether the endpoint still accepts connections.
class CrashWatch {
public:
  explicit CrashWatch(asio::io_context &loop) : Loop(loop) {}

  /// A call that the endpoint had not begun to answer has broken off. Calls
  /// that break off until the check's result belong to the same crash.
  void onBrokenOff(const std::string &endpoint, const std::string &address,
                   Quarantine::Suspect call);

  /// Called for each crash.
  std::function<void(const Quarantine::Crash &)> OnCrash;

private:
  void onChecked(const std::string &endpoint, HttpIo::ConnectResult result);

  asio::io_context &Loop;
  /// Crashes whose check is in progress, by endpoint.
  std::map<std::string, Quarantine::Crash> Checking;
};

} // namespace Gateway

#endif // GATEWAY_CRASHWATCH_H
