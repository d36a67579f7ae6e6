#include "callers.h"

namespace Nemesis {

namespace {
constexpr int DaemonCount = 3;
constexpr int TokensPerCall = 4;
constexpr std::chrono::milliseconds CallTimeout(4000);
} // namespace

Callers::Callers(const Support::Cluster &cluster, std::string key,
                 size_t threads, size_t rounds)
    : TestCluster(cluster), Key(std::move(key)), Rounds(rounds) {
  for (size_t i = 0; i < threads; ++i)
    Threads.emplace_back([this, i] { run(i); });
}

std::vector<Attempt> Callers::join() {
  for (std::thread &it : Threads)
    it.join();
  return std::move(Attempts);
}

void Callers::run(size_t caller) {
  for (size_t round = 0; round < Rounds; ++round) {
    complete(caller, round);
    reserve(caller, round);
    ++FinishedRounds;
  }
}

void Callers::record(Attempt attempt) {
  std::lock_guard lock(Mutex);
  Attempts.push_back(std::move(attempt));
}

void Callers::send(Attempt &attempt, const std::string &path,
                   const std::string &body, Support::Headers headers) {
  headers.emplace("X-Deadline-Ms", std::to_string(CallTimeout.count()));
  attempt.SentAt = std::chrono::steady_clock::now();
  attempt.Deadline = attempt.SentAt + CallTimeout;
  attempt.Response = TestCluster.post(attempt.Daemon, path, body, Key, headers);
  attempt.AnsweredAt = std::chrono::steady_clock::now();
}

void Callers::complete(size_t caller, size_t round) {
  Attempt attempt;
  attempt.Daemon = static_cast<int>(caller + round) % DaemonCount;
  attempt.Prompt =
      "caller " + std::to_string(caller) + " round " + std::to_string(round);
  std::string model = round % 2 == 0 ? "menu-small" : "menu-large";
  send(attempt, "/v1/completions",
       Support::completionBody(model, attempt.Prompt, TokensPerCall), {});
  record(std::move(attempt));
}

void Callers::reserve(size_t caller, size_t round) {
  std::string key = "c" + std::to_string(caller) + "-" + std::to_string(round);
  for (int i = 0; i < DaemonCount; ++i) {
    Attempt attempt;
    attempt.Daemon = static_cast<int>(caller + round + i) % DaemonCount;
    attempt.OrderKey = key;
    send(attempt, "/desk/reserve", R"({"seat":")" + key + "\"}",
         {{"Idempotency-Key", key}});
    bool succeeded = attempt.Response.Status == 200;
    record(std::move(attempt));
    if (succeeded)
      return;
  }
}

} // namespace Nemesis
