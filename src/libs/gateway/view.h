#ifndef GATEWAY_VIEW_H
#define GATEWAY_VIEW_H

#include "fleet/fleet.h"
#include "gateway/store.h"

#include <functional>
#include <set>

namespace Gateway {

/// This VM's view of the fleet: the configuration in force and the endpoints.
class View {
public:
  /// `evacuationBound`: see Fleet::Evacuations.
  explicit View(
      const Store &store,
      std::optional<Utils::Milliseconds> evacuationBound = std::nullopt);

  /// `isSnapshot`: the records are the whole topic, not an addition;
  /// evacuations without a record are withdrawn. `absentAt`: time at which the
  /// topic did not hold the records that are new here; nothing if no earlier
  /// state is known.
  void applyOperators(const std::vector<TopicRecord> &records, bool isSnapshot,
                      std::optional<Utils::TimePoint> absentAt,
                      Utils::TimePoint now);
  /// Logs the evacuations that have come into force since the last call.
  void logEvacuationsInForce(Utils::TimePoint now);
  /// `isSnapshot`: endpoints without a record are removed. `listing`: the reads
  /// that returned the records.
  void applyEndpoints(const std::vector<TopicRecord> &records, bool isSnapshot,
                      const Fleet::Listing &listing, Utils::TimePoint now);

  /// Applies an endpoint's report of a list that was read as in `listing`, here
  /// or at another gateway.
  void applyReport(Fleet::EndpointReport report, const Fleet::Listing &listing,
                   Utils::TimePoint now);
  /// The endpoint that was started at that time has announced in an answer that
  /// it leaves.
  void noteLeaving(const std::string &id, int64_t startedUnixMs);
  void removeEndpoint(const std::string &id, const Fleet::Listing &listing,
                      Utils::TimePoint now);
  /// Removes all endpoints but these.
  void retainEndpoints(const std::set<std::string_view> &ids,
                       const Fleet::Listing &listing, Utils::TimePoint now);

  /// Null before the first configuration.
  const Fleet::ConfigurationRef &configuration() const { return Current; }
  /// Whether the operators have written a newer configuration that could not be
  /// decoded: what the one in force does not have may exist.
  bool isBehind() const { return BehindSince.has_value(); }
  /// Version of the newest configuration that could not be decoded; 0 if none.
  uint64_t rejectedVersion() const { return RejectedVersion; }
  /// Its text; empty unless isBehind().
  const std::string &rejectedText() const { return RejectedText; }
  /// Since when; the keys that such a configuration withdraws are not known.
  std::optional<Utils::TimePoint> behindSince() const { return BehindSince; }
  /// Its text as the operators wrote it; empty before the first.
  const std::string &configurationText() const { return CurrentText; }
  const Fleet::EndpointTable &endpoints() const { return Endpoints; }
  const Fleet::Evacuations &evacuations() const { return Evacuations; }

  /// Called after a new configuration has come into force.
  std::function<void()> OnConfiguration;
  /// Called after a record of a configuration could not be decoded.
  std::function<void()> OnConfigurationRejected;
  /// Called after the endpoint with that id has changed or was removed.
  std::function<void(const std::string &)> OnEndpoint;
  /// Called after an evacuation was requested or withdrawn.
  std::function<void()> OnEvacuations;

private:
  void applyConfiguration(const std::string &text, Utils::TimePoint now);
  void rejectConfiguration(const std::string &text,
                           const Utils::Failure &failure, Utils::TimePoint now);
  /// Return whether the evacuations have changed.
  bool applyEvacuation(const std::string &domain, const TopicRecord &record,
                       std::optional<Utils::TimePoint> absentAt,
                       Utils::TimePoint now);
  bool withdrawEvacuation(const std::string &domain);
  void applyEndpoint(const TopicRecord &record, const Fleet::Listing &listing,
                     Utils::TimePoint now);

  const Store &Source;
  Fleet::ConfigurationRef Current;
  std::optional<Utils::TimePoint> BehindSince;
  /// Newest version that could not be decoded.
  uint64_t RejectedVersion = 0;
  std::string RejectedText;
  std::string CurrentText;
  Fleet::EndpointTable Endpoints;
  Fleet::Evacuations Evacuations;
};

} // namespace Gateway

#endif // GATEWAY_VIEW_H
