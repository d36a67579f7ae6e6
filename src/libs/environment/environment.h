#ifndef ENVIRONMENT_ENVIRONMENT_H
#define ENVIRONMENT_ENVIRONMENT_H

/// Public header of the environment library: the interfaces to the services of
/// the platform, each as a struct of functions. The client library of a
/// platform implements them; no other code depends on a particular platform.
#include "utils/outcome.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Environment {

/// A log entry, as written by one append.
struct LogEntry {
  uint64_t Offset = 0;
  std::string Bytes;
};

/// Consecutive entries from the requested offset on, and the bounds of the log
/// at the time of the read. If the requested offset is no longer retained,
/// Entries is empty and FirstRetained is greater than that offset.
struct LogRead {
  std::vector<LogEntry> Entries;
  uint64_t FirstRetained = 0;
  uint64_t NextOffset = 0;
};

/// Client of the append-only log. Functions are thread-safe and blocking.
struct LogService {
  /// Appends an entry and returns its offset. Failures: Unavailable (not
  /// appended), UnknownResult (possibly appended).
  std::function<Utils::Outcome<uint64_t>(const std::string &bytes)> Append;
  /// Reads up to `max` entries from an offset on; if there are none, waits up
  /// to `waitMs` for the first.
  std::function<Utils::Outcome<LogRead>(uint64_t from, uint32_t max,
                                        uint32_t waitMs)>
      Read;
};

enum class VmKind : uint8_t { Entry, Engine, Service };
enum class VmState : uint8_t { Live, Leaving };

/// A VM in the platform's VM list.
struct Vm {
  std::string Name;
  VmKind Kind = VmKind::Engine;
  VmState State = VmState::Live;
  std::string Address;
  uint16_t Port = 0;
  std::string FailureDomain;
  uint64_t MemoryMb = 0;
  /// Whether the engine rejects orders with an outdated fencing token.
  bool ChecksFencing = false;
  /// Name of the service that a service VM runs.
  std::string Service;
};

/// Client of the platform's VM list, which lags behind the actual state. VMs of
/// an unknown kind are omitted; a VM in any state other than live counts as
/// leaving. Fails with Corrupt if the response is not a valid VM list.
struct VmList {
  std::function<Utils::Outcome<std::vector<Vm>>()> List;
};

/// Load that the weight store reports.
struct WeightStoreLoad {
  uint32_t ModelLoadsInFlight = 0;
  uint32_t AdapterLoadsInFlight = 0;
};

/// Client of the platform's weight store.
struct WeightStore {
  /// Size of the checkpoint in MB; fails with NotFound if it does not exist.
  std::function<Utils::Outcome<uint64_t>(const std::string &weights)> SizeMb;
  std::function<Utils::Outcome<WeightStoreLoad>()> Load;
};

} // namespace Environment

#endif // ENVIRONMENT_ENVIRONMENT_H
