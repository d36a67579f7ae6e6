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

/// Topics of the store that the gateways only read.
enum class Topic : uint8_t {
  Operators, ///< The operators' configuration.
  Endpoints, ///< The endpoints' own reports, by id.
};

struct TopicRecord {
  std::string Key;
  /// None if the key was deleted.
  std::optional<std::string> Value;
};

struct TopicRead {
  /// Offset of the next read.
  uint64_t Next = 0;
  std::vector<TopicRecord> Records;
  /// End of the topic when it was read; above Next if one read could not hold
  /// all records.
  uint64_t End = 0;
};

/// A page of the newest records by key. The pages of a topic are not a
/// consistent snapshot of it.
struct TopicPage {
  /// End of the topic when the page was made.
  uint64_t End = 0;
  std::vector<TopicRecord> Records;
  /// Key after which the next page starts; empty for the last page.
  std::string NextAfter;
};

/// Newest record of the fleet's duty.
struct DutyRead {
  /// None if there is no record yet.
  std::optional<std::string> Value;
  /// Offset of the topic's end, right after that record.
  uint64_t End = 0;
};

/// The platform's metadata store. Every call invokes its callback exactly once,
/// asynchronously on the loop. Failures: Unavailable (not done), UnknownResult
/// (possibly done), OutOfRange (the records were deleted; read all again),
/// Conflict, Corrupt.
struct Store {
  using ReadDone = std::function<void(Utils::Outcome<TopicRead>)>;
  using PageDone = std::function<void(Utils::Outcome<TopicPage>)>;
  using DutyDone = std::function<void(Utils::Outcome<DutyRead>)>;
  using AppendDone = std::function<void(Utils::Outcome<uint64_t>)>;

  /// Reads a page of the newest records of the keys after `after`; the first
  /// page if that is empty.
  std::function<void(Topic, const std::string &after, Utils::TimePoint deadline,
                     PageDone)>
      ReadPage;
  /// Reads the records from an offset on; if there are none, waits for one up
  /// to `maxWait`.
  std::function<void(Topic, uint64_t from, Utils::Milliseconds maxWait,
                     Utils::TimePoint deadline, ReadDone)>
      ReadFrom;
  std::function<void(Utils::TimePoint deadline, DutyDone)> ReadDuty;
  /// Appends a record of the duty if its topic still ends at `end`; returns the
  /// new end, or Conflict.
  std::function<void(uint64_t end, const std::string &value,
                     Utils::TimePoint deadline, AppendDone)>
      AppendDuty;

  std::function<Utils::Outcome<Fleet::ConfigurationRef>(const std::string &)>
      DecodeConfiguration;
  /// Version of a configuration that cannot be decoded, if that is readable.
  std::function<std::optional<uint64_t>(const std::string &)>
      DecodeConfigurationVersion =
          [](const std::string &) { return std::optional<uint64_t>(); };
  std::function<Utils::Outcome<Fleet::EndpointReport>(const std::string &id,
                                                      const std::string &)>
      DecodeEndpoint;
  /// Key of the configuration in Topic::Operators.
  std::string ConfigurationKey;
  /// Failure domain that a record with this key in Topic::Operators asks to
  /// evacuate; nothing if the key means something else.
  std::function<std::optional<std::string>(const std::string &key)>
      EvacuatedDomain =
          [](const std::string &) { return std::optional<std::string>(); };
  /// Checks the value of such a record.
  std::function<Utils::Status(const std::string &value)> CheckEvacuation =
      [](const std::string &) { return Utils::success(); };
};

} // namespace Gateway

#endif // GATEWAY_STORE_H
