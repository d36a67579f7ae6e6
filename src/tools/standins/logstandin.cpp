#include "standins/logstandin.h"

#include "utils/digest.h"

namespace Standins {

namespace {

constexpr size_t ServerThreads = 256;
constexpr int HttpUnavailable = 503;
constexpr int HttpGone = 410;
constexpr uint64_t MaxWaitMs = 5000;

uint64_t numberParam(const httplib::Request &request, const char *name) {
  return request.has_param(name)
             ? std::strtoull(request.get_param_value(name).c_str(), nullptr, 10)
             : 0;
}

} // namespace

uint16_t LogStandin::start(uint16_t port) {
  Server.Http.Post("/log/append",
                   [this](const auto &in, auto &out) { append(in, out); });
  Server.Http.Get("/log/read",
                  [this](const auto &in, auto &out) { read(in, out); });
  Server.Http.Post("/control",
                   [this](const auto &in, auto &out) { control(in, out); });
  return Server.start(ServerThreads, port);
}

void LogStandin::stop() {
  {
    std::lock_guard lock(Mutex);
    Stopping = true;
  }
  Appended.notify_all();
  Server.stop();
}

void LogStandin::preload(const std::vector<std::string> &appends) {
  std::lock_guard lock(Mutex);
  Records.assign(appends.begin(), appends.end());
}

void LogStandin::append(const httplib::Request &request,
                        httplib::Response &response) {
  uint32_t delayMs = 0;
  uint64_t offset = 0;
  bool lose = false;
  {
    std::lock_guard lock(Mutex);
    if (Outage)
      return answerJson(response, {{"error", "outage"}}, HttpUnavailable);
    Records.push_back(request.body);
    offset = First + Records.size() - 1;
    expire();
    delayMs = AppendDelayMs;
    lose = LoseAnswers > 0;
    LoseAnswers -= lose ? 1 : 0;
  }
  Appended.notify_all();
  waitForRelease(request.body.size());
  std::this_thread::sleep_for(std::chrono::milliseconds(delayMs));
  if (lose)
    return answerJson(response, {{"error", "lost"}}, HttpUnavailable);
  answerJson(response, {{"offset", offset}});
}

void LogStandin::waitForRelease(size_t bytes) {
  std::unique_lock lock(Mutex);
  Appended.wait(lock, [&] { return Stopping || bytes < HoldAnswersFrom; });
}

void LogStandin::expire() {
  while (Records.size() > Retain) {
    Records.pop_front();
    ++First;
  }
}

Json LogStandin::recordsFrom(uint64_t from, uint64_t max) const {
  Json records = Json::array();
  uint64_t end = std::min(First + Records.size(), from + max);
  for (uint64_t offset = from; offset < end; ++offset)
    records.push_back({{"offset", offset},
                       {"data", Utils::toBase64(Records[offset - First])}});
  return records;
}

void LogStandin::read(const httplib::Request &request,
                      httplib::Response &response) {
  uint64_t from = numberParam(request, "from");
  uint64_t max = std::max<uint64_t>(numberParam(request, "max"), 1);
  uint64_t waitMs = std::min(numberParam(request, "wait_ms"), MaxWaitMs);
  std::unique_lock lock(Mutex);
  ++Reads;
  Appended.wait_for(lock, std::chrono::milliseconds(waitMs), [&] {
    return Outage || Stopping || from < First + Records.size();
  });
  if (Outage)
    return answerJson(response, {{"error", "outage"}}, HttpUnavailable);
  if (Garbage)
    return answerJson(response, {{"first", "?"}, {"records", 7}});
  if (from < First)
    return answerJson(response,
                      {{"first", First}, {"next", First + Records.size()}},
                      HttpGone);
  answerJson(response, {{"first", First},
                        {"next", First + Records.size()},
                        {"records", recordsFrom(from, max)}});
}

void LogStandin::control(const httplib::Request &request,
                         httplib::Response &response) {
  Json body = controlBody(request);
  Json bounds;
  {
    std::lock_guard lock(Mutex);
    Outage = body.value("outage", Outage);
    LoseAnswers = body.value("lose_answers", LoseAnswers);
    AppendDelayMs = body.value("append_delay_ms", AppendDelayMs);
    HoldAnswersFrom = body.value("hold_answers_from_bytes", HoldAnswersFrom);
    Retain = body.value("retain", Retain);
    Garbage = body.value("garbage", Garbage);
    expire();
    bounds = {
        {"first", First}, {"next", First + Records.size()}, {"reads", Reads}};
  }
  Appended.notify_all();
  answerJson(response, bounds);
}

} // namespace Standins
