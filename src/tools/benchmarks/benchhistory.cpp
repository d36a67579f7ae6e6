/// Measures what it costs to begin with nothing: bytes read from the log, time
/// to a state that is up to date, time per record, and memory of the state.
#include "benchmarks/dayofhistory.h"
#include "logsync/logsync.h"
#include "table/table.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <malloc.h>
#include <memory>

namespace {

using Benchmarks::DayOfHistory;
using Benchmarks::Sizes;

DayOfHistory &builder(int64_t index) {
  static std::unique_ptr<DayOfHistory> built[std::size(Sizes)];
  auto &it = built[static_cast<size_t>(index)];
  if (!it)
    it = std::make_unique<DayOfHistory>(Sizes[index]);
  return *it;
}

/// The log in memory; counts the bytes that it gives out.
Environment::LogService serviceOf(const DayOfHistory &from, uint64_t &bytes) {
  Environment::LogService log;
  log.Read = [&](uint64_t begin, uint32_t max,
                 uint32_t) -> Utils::Outcome<Environment::LogRead> {
    Environment::LogRead read;
    read.NextOffset = from.Appends.size();
    uint64_t end = std::min<uint64_t>(read.NextOffset, begin + max);
    for (uint64_t i = begin; i < end; ++i) {
      bytes += from.Appends[i].size();
      read.Entries.push_back({i, from.Appends[i]});
    }
    return read;
  };
  return log;
}

void follow(const Environment::LogService &log, History::StateStore &store) {
  LogSync::Follower follower(log, store, {});
  while (!follower.caughtUp())
    follower.readOnce();
}

/// Begins from the newest snapshot and applies its tail.
void beginFromSnapshot(benchmark::State &state) {
  DayOfHistory &built = builder(state.range(0));
  uint64_t bytes = 0;
  auto log = serviceOf(built, bytes);
  for (auto _ : state) {
    bytes = 0;
    History::StateStore store;
    follow(log, store);
    benchmark::DoNotOptimize(store);
  }
  state.counters["bytes_read"] = static_cast<double>(bytes);
  state.counters["appends_on_log"] = static_cast<double>(built.Appends.size());
}
BENCHMARK(beginFromSnapshot)->DenseRange(0, 1)->Unit(benchmark::kMillisecond);

/// Applies the whole log from its beginning.
void beginFromFirst(benchmark::State &state) {
  DayOfHistory &built = builder(state.range(0));
  size_t bytes = 0;
  for (const std::string &it : built.Appends)
    bytes += it.size();
  size_t records = 0;
  for (const std::string &it : built.Appends)
    records += History::decodeRecords(it).size();
  for (auto _ : state) {
    History::State reader;
    for (size_t i = 0; i < built.Appends.size(); ++i)
      History::applyAppend(reader, i, built.Appends[i]);
    benchmark::DoNotOptimize(reader);
  }
  state.counters["bytes_read"] = static_cast<double>(bytes);
  state.counters["records"] = static_cast<double>(records);
  state.counters["s_per_record"] =
      benchmark::Counter(static_cast<double>(records),
                         benchmark::Counter::kIsIterationInvariantRate |
                             benchmark::Counter::kInvert);
}
BENCHMARK(beginFromFirst)->DenseRange(0, 1)->Unit(benchmark::kMillisecond);

/// Encodes the state, as the holder does under the lock of the store.
void encodeSnapshot(benchmark::State &state) {
  DayOfHistory &built = builder(state.range(0));
  size_t bytes = 0;
  for (auto _ : state)
    bytes = History::encodeState(built.Current).size();
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(encodeSnapshot)->DenseRange(0, 1)->Unit(benchmark::kMillisecond);

/// Heap that a decoded state takes.
void stateMemory(benchmark::State &state) {
  std::string bytes = History::encodeState(builder(state.range(0)).Current);
  double heap = 0;
  for (auto _ : state) {
    size_t before = mallinfo2().uordblks;
    auto copy = History::decodeState(bytes);
    heap = static_cast<double>(mallinfo2().uordblks - before);
    benchmark::DoNotOptimize(copy);
  }
  state.counters["heap_bytes"] = heap;
}
BENCHMARK(stateMemory)->DenseRange(0, 1)->Unit(benchmark::kMillisecond);

/// Reads, checks and compares a sheet of as many rows as the range says.
void importSheet(benchmark::State &state) {
  std::string csv = "kind,name,teams,weights,memory_mb,base\n"
                    "model,base,*,w,1,\n";
  for (int64_t i = 0; i < state.range(0); ++i)
    csv += "adapter,a" + std::to_string(i) + ",*,w,1,base\n";
  for (auto _ : state) {
    Table::Sheet sheet = Table::parseSheet(csv);
    auto faults = Table::crossFaults(sheet, sheet.Rows);
    auto changes = Table::difference(sheet.Rows, sheet.Rows, true);
    benchmark::DoNotOptimize(faults);
    benchmark::DoNotOptimize(changes);
  }
}
BENCHMARK(importSheet)
    ->Arg(1325)
    ->Arg(2650)
    ->Arg(5300)
    ->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
