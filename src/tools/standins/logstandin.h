#ifndef STANDINS_LOGSTANDIN_H
#define STANDINS_LOGSTANDIN_H

#include "standins/standin.h"

#include <condition_variable>
#include <deque>
#include <mutex>

namespace Standins {

/// The platform's append-only log: offsets, retention, outages, slow appends
/// and answers lost after the append took effect. POST /control sets
/// `outage`, `lose_answers`, `append_delay_ms`, `retain`,
/// `hold_answers_from_bytes` (appends of that size or more are not answered
/// until it is raised again),
/// `garbage` (reads are answered with JSON of a wrong shape), and answers with
/// `first`, `next` and `reads`, the number of reads so far.
class LogStandin {
public:
  uint16_t start(uint16_t port = 0);
  void stop();
  /// Replaces what the log holds, from offset 0; called before start().
  void preload(const std::vector<std::string> &appends);

private:
  void append(const httplib::Request &request, httplib::Response &response);
  void read(const httplib::Request &request, httplib::Response &response);
  void control(const httplib::Request &request, httplib::Response &response);
  void waitForRelease(size_t bytes);
  void expire();
  Json recordsFrom(uint64_t from, uint64_t max) const;

  LoopbackServer Server;
  std::mutex Mutex;
  std::condition_variable Appended;
  std::deque<std::string> Records;
  uint64_t First = 0;
  uint64_t Reads = 0;
  bool Outage = false;
  bool Garbage = false;
  bool Stopping = false;
  uint32_t LoseAnswers = 0;
  uint32_t AppendDelayMs = 0;
  uint64_t HoldAnswersFrom = UINT64_MAX;
  uint64_t Retain = UINT64_MAX;
};

} // namespace Standins

#endif // STANDINS_LOGSTANDIN_H
