#ifndef PEERS_OUTAGEVECTOR_H
#define PEERS_OUTAGEVECTOR_H

#include "peers/age.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Peers::Internal {

/// When each daemon was last known to find the log unavailable. Sent as one
/// byte for each daemon of a sorted roster that both ends must share. Ages are
/// rounded up, so that a statement never looks newer than it is.
class OutageVector {
public:
  void note(const std::string &name, Utils::TimePoint at);
  std::optional<Utils::TimePoint> find(const std::string &name) const;
  /// Whether any statement is young enough to be sent.
  bool isFresh(Utils::TimePoint now) const;
  std::string encode(const std::vector<std::string> &roster,
                     Utils::TimePoint now) const;
  /// Takes ages in that were true not before `at`.
  void merge(const std::vector<std::string> &roster, std::string_view ages,
             Utils::TimePoint at);
  /// Drops what is too old to be sent.
  void forget(Utils::TimePoint now);

private:
  std::map<std::string, Utils::TimePoint> Said;
};

uint64_t rosterDigest(const std::vector<std::string> &roster);

} // namespace Peers::Internal

#endif // PEERS_OUTAGEVECTOR_H
