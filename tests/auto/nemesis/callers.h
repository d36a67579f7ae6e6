#ifndef NEMESIS_CALLERS_H
#define NEMESIS_CALLERS_H

#include "support/cluster.h"

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <thread>

namespace Nemesis {

/// One call and its response.
struct Attempt {
  int Daemon = 0;
  std::string OrderKey;
  std::string Prompt;
  Support::Reply Response;
  std::chrono::steady_clock::time_point SentAt;
  std::chrono::steady_clock::time_point AnsweredAt;
  /// Deadline sent with the request in X-Deadline-Ms.
  std::chrono::steady_clock::time_point Deadline;

  /// Milliseconds left until the deadline when the response arrived; negative
  /// if it was late.
  int64_t remainingMs() const {
    using std::chrono::milliseconds;
    return std::chrono::duration_cast<milliseconds>(Deadline - AnsweredAt)
        .count();
  }
};

/// Threads that alternate between completions and reservations. A reservation
/// is retried at the next daemon until one returns 200, three attempts at most.
class Callers {
public:
  Callers(const Support::Cluster &cluster, std::string key, size_t threads,
          size_t rounds);

  /// Number of rounds finished, summed over all threads.
  size_t finishedRounds() const { return FinishedRounds; }
  /// Waits until all rounds are finished; returns every attempt.
  std::vector<Attempt> join();

private:
  void run(size_t caller);
  void complete(size_t caller, size_t round);
  void reserve(size_t caller, size_t round);
  /// Sends the call with a deadline and records the response and both times.
  void send(Attempt &attempt, const std::string &path, const std::string &body,
            Support::Headers headers);
  void record(Attempt attempt);

  const Support::Cluster &TestCluster;
  std::string Key;
  size_t Rounds;
  std::atomic<size_t> FinishedRounds = 0;
  std::mutex Mutex;
  std::vector<Attempt> Attempts;
  std::vector<std::thread> Threads;
};

} // namespace Nemesis

#endif // NEMESIS_CALLERS_H
