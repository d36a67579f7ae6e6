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

/// Some of the newest records of the keys. The pages of a topic are no snapshot
/// of it.
struct TopicPage {
  /// End of the topic when the page was made.
  uint64_t End = 0;
  std::vector<TopicRecord> Records;
  /// Key behind which the next page begins; empty for the last page.
  std::string NextAfter;
};

/// Newest record of the fleet's duty.
struct DutyRead {
  /// None if there is no record yet.
  std::optional<std::string> Value;
  /// End of the topic behind it.
  uint64_t End = 0;
};

/// The platform's metadata store. Every call reports exactly once, later, on
/// the loop. Failures: Unavailable (not done), UnknownResult (perhaps done),
/// OutOfRange (the records are gone; read all), Conflict, Corrupt.
struct Store {
  using ReadDone = std::function<void(Utils::Outcome<TopicRead>)>;
  using PageDone = std::function<void(Utils::Outcome<TopicPage>)>;
  using DutyDone = std::function<void(Utils::Outcome<DutyRead>)>;
  using AppendDone = std::function<void(Utils::Outcome<uint64_t>)>;

  /// Newest records of the keys behind `after`, of all keys if that is empty.
  std::function<void(Topic, const std::string &after, Utils::TimePoint deadline,
                     PageDone)>
      ReadPage;
  /// Records from an offset on; waits for one as long as `patience` says.
  std::function<void(Topic, uint64_t from, Utils::Milliseconds patience,
                     Utils::TimePoint deadline, ReadDone)>
      ReadFrom;
  std::function<void(Utils::TimePoint deadline, DutyDone)> ReadDuty;
  /// Appends a record of the duty if its topic still ends at `end`; reports the
  /// new end, or Conflict.
  std::function<void(uint64_t end, const std::string &value,
                     Utils::TimePoint deadline, AppendDone)>
      AppendDuty;

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
