#ifndef GATEWAY_RECORDRELAY_H
#define GATEWAY_RECORDRELAY_H

#include "fleetlink/fleetlink.h"
#include "gateway/store.h"
#include "utils/clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

/// The newest raw records of a topic by key, as a gateway has read them, and
/// their fragments for gateways that the store rejects. The link's share for
/// all transfers together bounds the bytes of the fragments.
class RecordSource {
public:
  /// `linkMbps`: capacity of the VM's link.
  explicit RecordSource(double linkMbps);

  /// `isSnapshot`: keys without a record are removed.
  void apply(const std::vector<TopicRecord> &records, bool isSnapshot);
  /// Answers a request for a fragment: with that fragment, or with the first
  /// one if the request names another state than the present one. `next` is
  /// the position up to which the topic was read, and `asOf` the time at which
  /// that was its end. Returns nothing beyond the link's share, and for a
  /// fragment that does not exist.
  std::optional<FleetLink::RecordFragment>
  answer(const FleetLink::RecordRequest &request,
         const StoreEra::Position &next, Utils::TimePoint asOf,
         Utils::TimePoint now);

private:
  void encode();
  bool takeBytes(size_t bytes, Utils::TimePoint now);

  std::map<std::string, std::string> Values;
  /// Values as they are sent, with their hash; made when first requested.
  std::optional<std::string> Encoded;
  uint64_t Digest = 0;
  double BytesPerSecond;
  double Budget;
  Utils::TimePoint BudgetAt{};
};

/// Texts of the configurations that a gateway knows.
struct ConfigurationTexts {
  /// Empty before the first.
  std::string InForce;
  /// The newest one if it could not be decoded; empty otherwise.
  std::string Unreadable;
};

/// Key under which a newer configuration that could not be decoded is relayed
/// beside the one in force. Ordered behind `key`, that of the configuration.
std::string unreadableKey(const std::string &key);

/// Returns records as they are read from the store, with the configuration in
/// force in place of any other: a store that comes back from an older copy must
/// not undo at another gateway what is in force here. A newer one that could
/// not be decoded is added, so that it is not hidden. `key`: that of the
/// configuration.
std::vector<TopicRecord>
withConfigurationInForce(std::vector<TopicRecord> records, bool isSnapshot,
                         const std::string &key,
                         const ConfigurationTexts &texts);

/// A topic as another gateway has relayed it.
struct RelayedRecords {
  std::vector<TopicRecord> Records;
  /// Position up to which the topic was read.
  StoreEra::Position Next;
  /// The records are complete up to this time, or a later one.
  Utils::TimePoint AsOf{};
  /// Time at which the first request of the transfer was sent.
  Utils::TimePoint RequestedAt{};
};

/// Pulls the records of a topic from the holder, one fragment at a time.
class RecordTransfer {
public:
  /// Begins a transfer unless one is in progress. It ends with the last
  /// fragment, or when none has arrived for 5 s.
  void start(Utils::TimePoint now);
  void cancel() { Active = false; }
  bool isActive() const { return Active; }
  /// Time of the next request; a new fragment brings it forward.
  Utils::TimePoint nextRequestAt() const { return RequestAt; }
  /// Returns the next request and schedules its repetition; nothing while an
  /// answer may still come. The caller sets the addresses.
  std::optional<FleetLink::RecordRequest> makeRequest(Utils::TimePoint now);
  /// Returns the records once all fragments of one state have arrived.
  std::optional<RelayedRecords>
  handleFragment(const FleetLink::RecordFragment &fragment,
                 Utils::TimePoint now);

private:
  std::optional<RelayedRecords> assemble();
  void restart(Utils::TimePoint now);

  bool Active = false;
  /// Distinguishes the fragments of successive transfers and restarts.
  uint64_t Number = 0;
  Utils::TimePoint StartedAt{};
  /// State of the topic to which the fragments belong; none before the first.
  std::optional<FleetLink::RecordState> State;
  std::vector<std::optional<std::string>> Fragments;
  Utils::Milliseconds MaxAge{0};
  Utils::TimePoint RequestAt{};
  /// Time until the next repetition of a request.
  Utils::Milliseconds Timeout{0};
  /// The transfer ends at this time unless a fragment arrives.
  Utils::TimePoint GiveUpAt{};
};

} // namespace Gateway

#endif // GATEWAY_RECORDRELAY_H
