#ifndef GATEWAY_STORE_H
#define GATEWAY_STORE_H

#include "fleet/fleet.h"
#include "utils/outcome.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

/// Topics of the store that others write.
enum class Topic : uint8_t {
  Operators, ///< The operators' configuration.
  Endpoints, ///< What endpoints say of themselves, by id.
};

struct TopicRecord {
  std::string Key;
  /// None if the key was dropped.
  std::optional<std::string> Value;
};

struct TopicRead {
  /// Offset from which to read on.
  uint64_t Next = 0;
  std::vector<TopicRecord> Records;
};

/// This VM's part in the group of all gateways.
struct Membership {
  /// Grows with every change of the group.
  int64_t Generation = 0;
  /// Whether this VM holds the duties of the fleet.
  bool HoldsDuties = false;
};

/// The platform's metadata store. Every call reports exactly once, later, on
/// the loop. Failures: Unavailable (not done), UnknownResult (perhaps done),
/// OutOfRange (the records are gone; read all), Corrupt.
struct Store {
  using ReadDone = std::function<void(Utils::Outcome<TopicRead>)>;
  using JoinDone = std::function<void(Utils::Outcome<Membership>)>;
  using HolderDone =
      std::function<void(Utils::Outcome<std::optional<std::string>>)>;

  /// Newest record of every key.
  std::function<void(Topic, Utils::TimePoint deadline, ReadDone)> ReadAll;
  /// Records from an offset on; waits for one as long as `patience` says.
  std::function<void(Topic, uint64_t from, Utils::Milliseconds patience,
                     Utils::TimePoint deadline, ReadDone)>
      ReadFrom;
  /// Joins the group of gateways or stays in it.
  std::function<void(const std::string &member, int64_t generation,
                     Utils::TimePoint deadline, JoinDone)>
      Join;
  std::function<void(const std::string &member, Utils::TimePoint deadline,
                     std::function<void(Utils::Status)>)>
      Leave;
  /// Name of the member that holds the duties of the fleet.
  std::function<void(Utils::TimePoint deadline, HolderDone)> FindHolder;

  std::function<Utils::Outcome<Fleet::ConfigurationRef>(const std::string &)>
      DecodeConfiguration;
  std::function<Utils::Outcome<Fleet::EndpointReport>(const std::string &id,
                                                      const std::string &)>
      DecodeEndpoint;
  /// Key of the configuration in Topic::Operators.
  std::string ConfigurationKey;
};

} // namespace Gateway

#endif // GATEWAY_STORE_H
