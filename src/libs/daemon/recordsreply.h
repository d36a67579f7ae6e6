#ifndef DAEMON_RECORDSREPLY_H
#define DAEMON_RECORDSREPLY_H

#include <cstdint>
#include <string>
#include <vector>

namespace Daemon::Internal {

/// What one daemon answers to another that asks for records.
struct RecordsReply {
  bool TooOld = false;
  uint64_t From = 0;
  std::vector<std::string> Appends;
  bool HasReading = false;
  uint32_t ReadingAgeMs = 0;
  uint64_t ReadingEnd = 0;

  template <class A> void serialize(A &a) {
    a(TooOld, From, Appends, HasReading, ReadingAgeMs, ReadingEnd);
  }
};

} // namespace Daemon::Internal

#endif // DAEMON_RECORDSREPLY_H
