#ifndef STANDINS_ENGINESTANDIN_H
#define STANDINS_ENGINESTANDIN_H

#include "standins/standin.h"
#include "standins/weightstorestandin.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <vector>

namespace Standins {

struct EngineOptions {
  std::string Name;
  uint64_t MemoryMb = 0;
  bool ChecksFencing = false;
  std::chrono::milliseconds ModelLoadTime{300};
  std::chrono::milliseconds TokenTime{5};
  /// Requests that run at full speed together; more slow each other down.
  uint32_t FullSpeedBatch = 8;
};

/// A model engine: loads, unloads, completes with continuous batching and
/// reports its state. GET /admin/journal lists every order and call it saw.
/// POST /control takes `report_lag_ms`, `fail_loads` (number of loads that end
/// without the model), `order_delay_ms` (before an order is carried out),
/// `lose_answers` (number of orders answered by closing the connection),
/// `hold_tokens` (calls generate nothing until it is false again) and `restart`
/// (all models and checkpoints in memory are lost). GET /admin/usage is the
/// short load report, as late as the long one.
class EngineStandin {
public:
  EngineStandin(EngineOptions options, WeightStoreStandin &store);
  ~EngineStandin() { stop(); }

  uint16_t start(uint16_t port = 0);
  void stop();

private:
  using Clock = std::chrono::steady_clock;

  struct Held {
    std::string Replica;
    std::string Base;
    std::string State;
    uint64_t MemoryMb = 0;
    uint64_t Fence = 0;
    uint32_t Running = 0;
    uint64_t Load = 0;
    uint64_t Served = 0;
  };
  struct Snapshot {
    Clock::time_point At;
    Json Report;
  };

  void load(const httplib::Request &request, httplib::Response &response);
  void unload(const httplib::Request &request, httplib::Response &response);
  void state(httplib::Response &response);
  void control(const httplib::Request &request, httplib::Response &response);
  void complete(const httplib::Request &request, httplib::Response &response);
  void stream(const Json &body, bool chat, const std::string &id,
              httplib::Response &response);
  void finishLoad(const std::string &model, const std::string &weights,
                  bool adapter, uint64_t number);
  /// Runs an order after the delay; may then lose its answer.
  void answerOrder(httplib::Response &response, const Json &body, int status);
  void waitForOrder();
  bool oldFence(const std::string &model, uint64_t fence);
  std::string loadFault(const std::string &model, const std::string &base,
                        uint64_t neededMb) const;
  uint64_t usedMb() const;
  Json report() const;
  /// The report that a reader sees now, as late as was told.
  Json seenReport();
  /// Keeps the report for readers that are to see it late.
  void changed();
  void note(Json entry);
  void begin(const std::string &model);
  void end(const std::string &model);
  /// Time of one token; in a crowd longer for a request without priority.
  void waitForToken(int64_t priority);

  EngineOptions Options;
  WeightStoreStandin &Store;
  LoopbackServer Server;
  std::mutex Mutex;
  std::map<std::string, Held> Models;
  std::map<std::string, uint64_t> Fences;
  std::set<std::string> OnDisk;
  std::set<std::string> InMemory;
  std::vector<std::thread> Loads;
  std::deque<Snapshot> Snapshots;
  uint64_t LoadNumber = 0;
  uint32_t FailLoads = 0;
  uint32_t LoseAnswers = 0;
  bool HoldTokens = false;
  std::condition_variable Released;
  std::chrono::milliseconds OrderDelay{0};
  std::chrono::milliseconds ReportLag{0};
  Json Journal = Json::array();
  std::atomic<uint32_t> Running = 0;
  std::atomic<bool> Stopping = false;
};

} // namespace Standins

#endif // STANDINS_ENGINESTANDIN_H
