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

/// What may be repeated of a call.
enum class RouteKind : uint8_t {
  Safe,      ///< May run any number of times.
  Unsafe,    ///< May run once.
  Streaming, ///< May run once, unless the route is resumable.
};

std::string_view routeKindName(RouteKind kind);

struct WeightedService {
  std::string Service;
  uint32_t Weight = 1;
};

struct Route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  RouteKind Kind = RouteKind::Unsafe;
  /// Longest time that a caller is kept waiting.
  Milliseconds Timeout{0};
  /// An answer, or the first event of a stream, within it is on time.
  Milliseconds LatencyObjective{0};
  /// Longest pause between events for which a stream is on time.
  Milliseconds GapObjective{0};
  /// 0 is the most urgent.
  uint8_t Priority = 0;
  /// Replicas to which one call may be sent.
  uint32_t Attempts = 1;
  /// Needs no key.
  bool Public = false;
  /// A broken stream may go on at another replica.
  bool Resumable = false;
  /// The services that the route's calls are split over by weight.
  std::vector<WeightedService> Services;
};

struct Model {
  std::string Name;
  double SizeMb = 0;
  Milliseconds LoadFromStore{0};
  Milliseconds LoadFromDisk{0};
  Milliseconds LoadFromMemory{0};
  uint32_t Adapters = 0;
};

/// The model engine behind a service.
struct Engine {
  uint32_t Slots = 0;
  uint64_t CacheTokens = 0;
  double MemoryMb = 0;
  double HostMemoryMb = 0;
  double DiskMb = 0;
  uint32_t AdapterSlots = 0;
  /// Loads from the weight store that may begin in a second, over all
  /// replicas.
  double StoreLoadsPerSecond = 0;
  std::vector<Model> Models;

  /// Builds the index behind findModel().
  void index();
  const Model *findModel(const std::string &name) const;

private:
  std::unordered_map<std::string, uint32_t> IndexOf;
};

struct Service {
  std::string Name;
  std::string HealthPath;
  uint32_t ConnectionLimit = 0;
  std::optional<Engine> ModelEngine;
};

struct Team {
  std::string Name;
  /// Overrides the priority of the route.
  std::optional<uint8_t> Priority;
  /// Limits count tokens; requests otherwise.
  bool CountsTokens = false;
  /// 0 means no limit.
  double RatePerSecond = 0;
  double Burst = 0;
  /// Tokens of a call that states none.
  double DefaultTokens = 1;
  std::vector<std::string> Keys;
};

/// Bounds on what callers may send and how long they may take.
struct CallerLimits {
  uint32_t HeaderBytes = 16384;
  uint64_t BodyBytes = 4194304;
  Milliseconds HeaderTimeout{3000};
  Milliseconds IdleTimeout{15000};
};

/// One version of the operators' configuration. Immutable once indexed.
struct Configuration {
  uint64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<Service> Services;
  std::vector<Team> Teams;
  CallerLimits Limits;

  /// Builds the indexes behind the queries below.
  void index();

  /// The route of the host with the longest prefix of the path, or null.
  const Route *findRoute(std::string_view host, std::string_view path) const;
  /// The team that holds the key, or null.
  const Team *findTeam(std::string_view key) const;
  const Team *findTeamByName(std::string_view name) const;
  const Service *findService(std::string_view name) const;
  /// Whether calls need a key at all.
  bool usesKeys() const { return !Teams.empty(); }

private:
  /// Routes of a host, longest prefix first.
  std::unordered_map<std::string, std::vector<uint32_t>> RoutesOfHost;
  std::unordered_map<std::string, uint32_t> TeamOfKey;
};

using ConfigurationRef = std::shared_ptr<const Configuration>;

} // namespace Fleet

#endif // FLEET_CONFIGURATION_H
