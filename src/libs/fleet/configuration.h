#ifndef FLEET_CONFIGURATION_H
#define FLEET_CONFIGURATION_H

#include "utils/clock.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Fleet {

using Utils::Milliseconds;

/// Whether a request of a route may be executed again.
enum class RouteKind : uint8_t {
  Safe,      ///< May be executed any number of times.
  Unsafe,    ///< May be executed at most once.
  Streaming, ///< May be executed at most once, unless the route is resumable.
};

/// Name of the kind as in the configuration.
std::string_view routeKindName(RouteKind kind);

/// Target of a weighted traffic split.
struct WeightedService {
  std::string Service;
  uint32_t Weight = 1;
};

/// Requests of a host and path prefix, and how they are served.
struct Route {
  std::string Name;
  std::string Host;
  /// Path prefix; begins and ends with a slash.
  std::string Prefix;
  RouteKind Kind = RouteKind::Unsafe;
  /// Longest time that a client waits for its response.
  Milliseconds Timeout{0};
  /// Target latency of a response, or of the first event of a stream.
  Milliseconds LatencyObjective{0};
  /// Target for the longest gap between two events of a stream.
  Milliseconds GapObjective{0};
  /// 0 is the highest priority.
  uint8_t Priority = 0;
  /// Maximum number of replicas to which one request may be sent.
  uint32_t Attempts = 1;
  /// Requests need no access key.
  bool Public = false;
  /// An interrupted stream may be resumed on another replica.
  bool Resumable = false;
  /// The services among which requests are split by weight.
  std::vector<WeightedService> Services;
};

/// A model that an engine can load, with the time that loading takes from the
/// weight store, the local disk and the host memory.
struct Model {
  std::string Name;
  double SizeMb = 0;
  Milliseconds StoreLoadTime{0};
  Milliseconds DiskLoadTime{0};
  Milliseconds MemoryLoadTime{0};
  uint32_t Adapters = 0;
};

/// Capacity of each replica of a model-serving service.
struct Engine {
  uint32_t Slots = 0;
  uint64_t CacheTokens = 0;
  double MemoryMb = 0;
  double HostMemoryMb = 0;
  double DiskMb = 0;
  uint32_t AdapterSlots = 0;
  /// Rate limit of loads from the weight store, shared by all replicas.
  double StoreLoadsPerSecond = 0;
  std::vector<Model> Models;

  /// Builds the index that findModel() uses.
  void index();
  const Model *findModel(const std::string &name) const;

private:
  std::unordered_map<std::string, uint32_t> IndexByName;
};

/// A group of replicas that serve the same requests.
struct Service {
  std::string Name;
  std::string HealthPath;
  uint32_t ConnectionLimit = 0;
  std::optional<Engine> ModelEngine;
  /// Time for which a replica is cold after its start. What a replica reports
  /// of itself counts, as it may become cold again later.
  Milliseconds ColdStart{0};
  /// Calls per second that a cold replica takes; 0: no limit.
  double ColdPerSecond = 0;
};

/// A tenant: its access keys and its rate limit, a token bucket.
struct Team {
  std::string Name;
  /// Overrides the priority of the route.
  std::optional<uint8_t> Priority;
  /// Whether the rate limit counts model tokens rather than requests.
  bool CountsTokens = false;
  /// 0 disables the limit.
  double RatePerSecond = 0;
  double Burst = 0;
  /// Cost of a request that does not state its tokens.
  double DefaultTokens = 1;
  std::vector<std::string> Keys;
};

/// Limits on the size of client requests and on client idleness.
struct ClientLimits {
  uint32_t HeaderBytes = 16384;
  uint64_t BodyBytes = 4194304;
  Milliseconds HeaderTimeout{3000};
  Milliseconds IdleTimeout{15000};
};

/// Parts of a configuration that are decoded on their own.
enum class EntryKind : uint8_t { Route, Service, Team, Limits };

/// Name of the kind in logs.
std::string_view entryKindName(EntryKind kind);

/// A part of the configuration that this build cannot decode. The rest of its
/// version comes into force without it.
struct UnreadableEntry {
  EntryKind Kind = EntryKind::Route;
  /// Empty if it cannot be decoded.
  std::string Name;
  std::string Error;
  /// Host and path prefix of a route; nothing if they cannot be decoded.
  std::optional<std::string> Host;
  std::optional<std::string> Prefix;
};

/// A version of the operators' configuration. Must not change after index().
struct Configuration {
  uint64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<Service> Services;
  std::vector<Team> Teams;
  ClientLimits Limits;
  std::vector<UnreadableEntry> Unreadable;

  /// Builds the indexes that the queries below use.
  void index();

  /// The route of the host whose prefix is the longest match of the path, or
  /// null. The case of the host does not matter, nor does its port, unless the
  /// host of a route names one.
  const Route *findRoute(std::string_view host, std::string_view path) const;
  /// The team that owns the access key, or null.
  const Team *findTeamByKey(std::string_view key) const;
  const Team *findTeamByName(std::string_view name) const;
  const Service *findService(std::string_view name) const;
  /// Whether requests to non-public routes need an access key.
  bool requiresKeys() const {
    return !Teams.empty() || hasUnreadable(EntryKind::Team);
  }
  bool hasUnreadable(EntryKind kind) const;
  /// Whether a request that findRoute() gives to `match`, or to no route, may
  /// belong to a route that cannot be decoded: to one with a longer prefix, or,
  /// without a match, to one whose host or prefix is unknown.
  bool mayBelongToUnreadable(std::string_view host, std::string_view path,
                             const Route *match) const;
  /// Whether the service is not known and may be one that cannot be decoded.
  bool isServiceUnreadable(std::string_view name) const;

private:
  const std::vector<uint32_t> *findRoutesOf(std::string_view host) const;

  /// Indexes of the routes of each host in lower case, longest prefix first.
  std::unordered_map<std::string, std::vector<uint32_t>> RoutesByHost;
  std::unordered_map<std::string, uint32_t> TeamByKey;
};

using ConfigurationRef = std::shared_ptr<const Configuration>;

} // namespace Fleet

#endif // FLEET_CONFIGURATION_H
