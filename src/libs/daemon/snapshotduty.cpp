#include "daemon/snapshotduty.h"

#include "history/historyconstants.h"

namespace Daemon::Internal {

namespace {

constexpr Utils::Milliseconds RoundPause(500);
constexpr int AppendsPerChunk = 4;
constexpr Utils::Milliseconds ExpiryPeriod(60'000);
constexpr Utils::Milliseconds AppendTimeout(2000);
/// Margin for wall clocks that run ahead.
constexpr int64_t ExpiryMarginS = 3600;
constexpr int64_t MsPerS = 1000;

} // namespace

SnapshotDuty::SnapshotDuty(Context &context)
    : Shared(context), Keeper(context, History::Constants::SnapshotDuty) {}

SnapshotDuty::~SnapshotDuty() { stop(); }

void SnapshotDuty::start() {
  Keeper.start();
  Rounds.start(RoundPause, [this] { round(); });
}

void SnapshotDuty::stop() {
  Rounds.stop();
  Keeper.stop();
}

void SnapshotDuty::round() {
  if (!Keeper.holds() || !lookUp())
    return;
  writeSnapshot();
  expireOrders();
}

bool SnapshotDuty::lookUp() {
  History::Position fence = Keeper.fence();
  if (fence == 0)
    return false;
  if (fence == KnownFence)
    return true;
  auto start = LogSync::findStart(Shared.Log);
  if (!start && start.error().Code != Utils::Errc::OutOfRange)
    return false;
  KnownFence = fence;
  Newest.reset();
  if (start && start->SnapshotOffset)
    Newest = {start->Content.NextOffset, *start->SnapshotOffset};
  return true;
}

Utils::Outcome<uint64_t>
SnapshotDuty::appendChunk(const History::SnapshotChunk &chunk) {
  std::string bytes = History::encodeRecords({chunk});
  Utils::Outcome<uint64_t> offset =
      Utils::failure(Utils::Errc::Cancelled, "the duty is not held");
  for (int i = 0; i < AppendsPerChunk && Keeper.holds() && !offset; ++i)
    offset = Shared.Log.Append(bytes);
  return offset;
}

void SnapshotDuty::writeSnapshot() {
  std::vector<History::SnapshotChunk> chunks;
  uint64_t next = 0;
  Shared.Store.read([&](const History::State &state) {
    next = state.NextOffset;
    if (LogSync::snapshotDue(Newest, Shared.Follower->firstRetained(), next))
      chunks = History::makeSnapshot(state, Utils::randomId());
    return 0;
  });
  if (chunks.empty())
    return;
  size_t bytes = 0;
  uint64_t firstOffset = UINT64_MAX;
  for (History::SnapshotChunk &chunk : chunks) {
    bytes += chunk.Data.size();
    auto offset = appendChunk(chunk);
    if (!offset) {
      Utils::Event("snapshot_failed")
          .with("why", offset.error().What)
          .warning();
      return;
    }
    firstOffset = std::min(firstOffset, *offset);
  }
  Newest = {next, firstOffset};
  Utils::Event("snapshot_written")
      .with("next", next)
      .with("chunks", chunks.size())
      .with("bytes", bytes)
      .info();
}

void SnapshotDuty::expireOrders() {
  if (Shared.Clock.Now() < NextExpiry)
    return;
  NextExpiry = Shared.Clock.Now() + ExpiryPeriod;
  int64_t before = Shared.Clock.WallMs() / MsPerS - ExpiryMarginS;
  auto due = Shared.Store.read([&](const History::State &state) {
    return History::orderExpiry(state, before);
  });
  if (due.Expired)
    appendRecord(
        Shared,
        History::OrdersExpired{Utils::randomId(), Keeper.fence(), before},
        AppendTimeout);
  if (due.BodiesBefore != 0)
    appendRecord(Shared,
                 History::OrderBodiesExpired{Utils::randomId(), Keeper.fence(),
                                             due.BodiesBefore},
                 AppendTimeout);
}

} // namespace Daemon::Internal
