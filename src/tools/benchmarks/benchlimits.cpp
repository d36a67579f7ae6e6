#include "admission/admission.h"
#include "limits/limits.h"

#include <benchmark/benchmark.h>
#include <mutex>

/// Cost of one decision of admission, beside a mutex and a counter. Arguments:
/// daemons, teams.

namespace {

using namespace Limits;

const std::string Team = "team-0";

std::string teamName(int64_t i) { return "team-" + std::to_string(i); }

Utils::TimePoint timeOf(int64_t us) {
  return Utils::TimePoint(std::chrono::hours(1) +
                          std::chrono::microseconds(us));
}

AccountReport reportOf(const std::string &team) {
  AccountReport report;
  report.Team = team;
  report.Generation = 1;
  return report;
}

Holder holderFor(int64_t daemons, int64_t teams) {
  Holder holder = makeHolder({}, 1, true, timeOf(0));
  for (int64_t i = 0; i < teams; ++i) {
    setLimit(holder, teamName(i), {1'000'000, 1'000'000}, timeOf(0));
    for (int64_t d = 0; d < daemons; ++d) {
      GrantRequest request{std::to_string(d), 1, 1, {reportOf(teamName(i))}};
      request.Accounts[0].Needs = {10};
      grant(holder, request, timeOf(0));
    }
  }
  return holder;
}

void mutexAndCounter(benchmark::State &state) {
  std::mutex mutex;
  uint64_t counter = 0;
  for (auto it : state) {
    std::lock_guard lock(mutex);
    benchmark::DoNotOptimize(++counter);
  }
}
BENCHMARK(mutexAndCounter);

void reserveDeliverRelease(benchmark::State &state) {
  Holder holder = holderFor(0, state.range(1));
  Wallets wallets;
  wallets.Daemon = "d";
  auto request = makeRequest(wallets, 1, {{Team, {1000}}}, timeOf(0));
  accept(wallets, grant(holder, request, timeOf(0)));
  std::mutex mutex;
  for (auto it : state) {
    std::lock_guard lock(mutex);
    auto tokens = reserve(wallets, Team, 100, timeOf(1));
    deliver(wallets, *tokens, 0, timeOf(1));
    release(wallets, *tokens);
  }
}
BENCHMARK(reserveDeliverRelease)->Args({8, 5})->Args({420, 200});

void grantAtHolder(benchmark::State &state) {
  Holder holder = holderFor(state.range(0), state.range(1));
  GrantRequest request{"0", 1, 2, {reportOf(Team)}};
  request.Accounts[0].Granted = 10;
  request.Accounts[0].Needs = {1};
  std::mutex mutex;
  int64_t us = 0;
  for (auto it : state) {
    std::lock_guard lock(mutex);
    ++request.Sequence;
    request.Accounts[0].Delivered = request.Accounts[0].Granted;
    us += 10;
    auto reply = grant(holder, request, timeOf(us));
    request.Accounts[0].Granted = reply.Accounts[0].Granted;
  }
}
BENCHMARK(grantAtHolder)->Args({8, 5})->Args({420, 200});

void enqueueAndNext(benchmark::State &state) {
  Admission::FairQueue queue;
  queue.Limits = {64, 100000};
  auto any = [](const std::string &) { return true; };
  uint64_t id = 0;
  for (int64_t i = 0; i < state.range(1); ++i)
    Admission::enqueue(queue, {++id, teamName(i), "m", {}});
  std::mutex mutex;
  for (auto it : state) {
    std::lock_guard lock(mutex);
    Admission::enqueue(queue, {++id, Team, "m", {}});
    auto started = Admission::next(queue, any);
    Admission::serve(queue, started->Team, 100);
    Admission::finish(queue, started->Team);
  }
}
BENCHMARK(enqueueAndNext)->Args({8, 5})->Args({420, 200});

void costOfRequest(benchmark::State &state) {
  std::string body = R"({"model":"m","max_tokens":64,"prompt":")" +
                     std::string(1000, 'x') + "\"}";
  for (auto it : state)
    benchmark::DoNotOptimize(Admission::costOf(body));
}
BENCHMARK(costOfRequest);

} // namespace

BENCHMARK_MAIN();
