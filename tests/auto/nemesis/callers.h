#ifndef NEMESIS_CALLERS_H
#define NEMESIS_CALLERS_H

#include "support/cluster.h"

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <thread>

namespace Nemesis {

/// One call and what came of it.
struct Attempt {
  int Daemon = 0;
  std::string OrderKey;
  std::string Prompt;
  Support::Reply Answer;
  std::chrono::steady_clock::time_point SentAt;
  std::chrono::steady_clock::time_point AnsweredAt;
  /// Named in the request.
  std::chrono::steady_clock::time_point Deadline;

  /// Time left to the deadline when the answer came, milliseconds.
  int64_t leftMs() const {
    using std::chrono::milliseconds;
    return std::chrono::duration_cast<milliseconds>(Deadline - AnsweredAt)
        .count();
  }
};

/// Callers that send completions and reservations in turn, each reservation
/// again at the next daemon until it is answered with 200, at most three times.
class Callers {
public:
  Callers(const Support::Cluster &cluster, std::string key, size_t threads,
          size_t rounds);

  /// Rounds finished by all callers together.
  size_t finished() const { return Finished; }
  std::vector<Attempt> join();

private:
  void run(size_t caller);
  void complete(size_t caller, size_t round);
  void reserve(size_t caller, size_t round);
  /// Sends with the deadline and notes when, and when the answer came.
  void send(Attempt &attempt, const std::string &path, const std::string &body,
            Support::Headers headers);
  void add(Attempt attempt);

  const Support::Cluster &All;
  std::string Key;
  size_t Rounds;
  std::atomic<size_t> Finished = 0;
  std::mutex Mutex;
  std::vector<Attempt> Attempts;
  std::vector<std::thread> Threads;
};

} // namespace Nemesis

#endif // NEMESIS_CALLERS_H
