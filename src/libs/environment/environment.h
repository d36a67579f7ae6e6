#ifndef ENVIRONMENT_ENVIRONMENT_H
#define ENVIRONMENT_ENVIRONMENT_H

/// Public header of the environment library: what the system needs of the
/// platform that it runs on, each part as a plain struct of functions. A client
/// of one platform fills them in; nothing else knows which platform it is.
#include "utils/outcome.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Environment {

/// One append as read back.
struct LogEntry {
  uint64_t Offset = 0;
  std::string Bytes;
};

/// A run of consecutive entries from the offset asked, and the bounds of the
/// log at that time. When that offset is no longer retained, there are no
/// entries and FirstRetained is above it.
struct LogRead {
  std::vector<LogEntry> Entries;
  uint64_t FirstRetained = 0;
  uint64_t NextOffset = 0;
};

/// The append-only log. Functions are thread-safe and block.
struct LogService {
  /// Appends and returns the offset. Errc::Unavailable: it took no effect;
  /// Errc::UnknownResult: it may have taken effect.
  std::function<Utils::Outcome<uint64_t>(const std::string &bytes)> Append;
  /// Reads from an offset; waits up to waitMs for the first entry.
  std::function<Utils::Outcome<LogRead>(uint64_t from, uint32_t max,
                                        uint32_t waitMs)>
      Read;
};

enum class VmKind : uint8_t { Entry, Engine, Service };
enum class VmLife : uint8_t { Live, Leaving };

/// One VM on the platform's list.
struct Vm {
  std::string Name;
  VmKind Kind = VmKind::Engine;
  VmLife Life = VmLife::Live;
  std::string Address;
  uint16_t Port = 0;
  std::string FailureDomain;
  uint64_t MemoryMb = 0;
  bool ChecksFencing = false;
  std::string Service;
};

/// The platform's list of VMs, which lags. A VM of another kind is left out;
/// one in another state than live is leaving. Errc::Corrupt: not such a list.
struct VmList {
  std::function<Utils::Outcome<std::vector<Vm>>()> List;
};

/// What the weight store says of itself.
struct WeightStoreLoad {
  uint32_t ModelLoadsInFlight = 0;
  uint32_t AdapterLoadsInFlight = 0;
};

struct WeightStore {
  /// Size of the checkpoint in MB; Errc::NotFound when there is none.
  std::function<Utils::Outcome<uint64_t>(const std::string &weights)> SizeMb;
  std::function<Utils::Outcome<WeightStoreLoad>()> Load;
};

} // namespace Environment

#endif // ENVIRONMENT_ENVIRONMENT_H
