#include "peers/replaywindow.h"
#include "peers/peersconstants.h"

#include <algorithm>
#include <cstdlib>

namespace Peers::Internal {

bool ReplayWindow::admit(const Stamp &stamp, int64_t nowWallMs) {
  if (std::abs(stamp.WallMs - nowWallMs) > Constants::MaxWallSkewMs)
    return false;
  if (!Started || stamp.Boot != Boot) {
    if (Started && stamp.WallMs <= NewestWallMs)
      return false;
    Started = true;
    Boot = stamp.Boot;
    Highest = stamp.Sequence;
    Seen.reset();
    Seen.set(0);
    NewestWallMs = std::max(NewestWallMs, stamp.WallMs);
    return true;
  }
  if (stamp.Sequence > Highest) {
    uint64_t step = stamp.Sequence - Highest;
    Seen = step < Width ? Seen << step : std::bitset<Width>();
    Highest = stamp.Sequence;
  }
  uint64_t back = Highest - stamp.Sequence;
  if (back >= Width || Seen.test(back))
    return false;
  Seen.set(back);
  NewestWallMs = std::max(NewestWallMs, stamp.WallMs);
  return true;
}

} // namespace Peers::Internal
