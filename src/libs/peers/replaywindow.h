#ifndef PEERS_REPLAYWINDOW_H
#define PEERS_REPLAYWINDOW_H

#include <bitset>
#include <cstdint>

namespace Peers::Internal {

/// What makes one datagram of a sender unique.
struct Stamp {
  /// Random number drawn at the sender's start.
  uint64_t Boot = 0;
  uint64_t Sequence = 0;
  /// Sender's wall clock, milliseconds.
  int64_t WallMs = 0;

  template <class A> void serialize(A &a) { a(Boot, Sequence, WallMs); }
};

/// Refuses datagrams of one sender that were seen before or are too old.
class ReplayWindow {
public:
  /// Whether the datagram is new; notes it if so.
  bool admit(const Stamp &stamp, int64_t nowWallMs);

private:
  static constexpr uint64_t Width = 256;

  bool Started = false;
  uint64_t Boot = 0;
  uint64_t Highest = 0;
  int64_t NewestWallMs = 0;
  std::bitset<Width> Seen;
};

} // namespace Peers::Internal

#endif // PEERS_REPLAYWINDOW_H
