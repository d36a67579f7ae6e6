#include "logsync/snapshotpolicy.h"
#include "logsync/logsyncconstants.h"

namespace LogSync {

namespace C = Constants;

bool snapshotDue(const std::optional<SnapshotPlace> &newest, uint64_t first,
                 uint64_t next) {
  if (!newest)
    return next > 0;
  uint64_t since = next - newest->NextOffset;
  if (since >= C::MaxAppendsPerSnapshot)
    return true;
  if (first == 0 || since < C::MinAppendsPerSnapshot)
    return false;
  uint64_t middle = first + (next - first) / C::RetainedShares;
  return newest->NextOffset < middle || newest->FirstOffset < middle;
}

} // namespace LogSync
