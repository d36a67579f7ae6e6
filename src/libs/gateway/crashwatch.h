#ifndef GATEWAY_CRASHWATCH_H
#define GATEWAY_CRASHWATCH_H

#include "httpio/httpio.h"
#include "utils/clock.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Gateway {

/// A call that an endpoint had not begun to answer when it broke off.
struct UnansweredCall {
  /// Ids of the prompt parts that other calls may share.
  std::vector<std::string> SharedParts;
  Utils::TimePoint SentAt{};
};

/// A crash of an endpoint, as this gateway has seen it.
struct EndpointCrash {
  std::string Endpoint;
  /// When the first call broke off.
  Utils::TimePoint At{};
  std::vector<UnansweredCall> Unanswered;
};

/// Tells crashes of endpoints from single lost connections: after a call has
/// broken off, checks whether the endpoint still accepts connections.
class CrashWatch {
public:
  explicit CrashWatch(asio::io_context &loop) : Loop(loop) {}

  /// A call that the endpoint had not begun to answer has broken off. Calls
  /// that break off until the check's result belong to the same crash.
  void onBrokenOff(const std::string &endpoint, const std::string &address,
                   UnansweredCall call);

  /// Called for each crash.
  std::function<void(const EndpointCrash &)> OnCrash;

private:
  void onChecked(const std::string &endpoint, HttpIo::ConnectResult result);

  asio::io_context &Loop;
  /// Crashes whose check is in progress, by endpoint.
  std::map<std::string, EndpointCrash> Checking;
};

} // namespace Gateway

#endif // GATEWAY_CRASHWATCH_H
