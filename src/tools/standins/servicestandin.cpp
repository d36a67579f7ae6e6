#include "standins/servicestandin.h"

namespace Standins {

namespace {
constexpr size_t ServerThreads = 64;
constexpr char AnyPath[] = R"(/.*)";
} // namespace

uint16_t ServiceStandin::start(uint16_t port) {
  httplib::Server &http = Server.Http;
  http.Get("/control/executions", [this](const auto &, auto &out) {
    std::lock_guard lock(Mutex);
    answerJson(out, Executions);
  });
  http.Get("/control/journal", [this](const auto &, auto &out) {
    std::lock_guard lock(Mutex);
    answerJson(out, Journal);
  });
  http.Post("/control", [this](const auto &in, auto &out) {
    Json body = controlBody(in);
    std::lock_guard lock(Mutex);
    DelayMs = body.value("delay_ms", DelayMs);
    LoseAnswers = body.value("lose_answers", LoseAnswers);
    answerJson(out, {{"delay_ms", DelayMs}});
  });
  auto handler = [this](const auto &in, auto &out) { call(in, out); };
  http.Get(AnyPath, handler);
  http.Post(AnyPath, handler);
  http.Put(AnyPath, handler);
  http.Delete(AnyPath, handler);
  return Server.start(ServerThreads, port);
}

void ServiceStandin::call(const httplib::Request &request,
                          httplib::Response &response) {
  std::string key = request.get_header_value("Idempotency-Key");
  uint32_t delayMs = 0;
  uint64_t n = 0;
  bool lose = false;
  {
    std::lock_guard lock(Mutex);
    Json headers = Json::object();
    for (const auto &[name, value] : request.headers)
      headers[name] = value;
    Journal.push_back(
        {{"path", request.path}, {"key", key}, {"headers", headers}});
    if (!key.empty())
      n = ++Executions[key];
    delayMs = DelayMs;
    lose = LoseAnswers > 0;
    LoseAnswers -= lose ? 1 : 0;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(delayMs));
  response.set_header("X-Request-Id", request.get_header_value("X-Request-Id"));
  if (lose) {
    response.set_content_provider(
        1, "text/plain",
        [](size_t, size_t, httplib::DataSink &) { return false; });
    return;
  }
  answerJson(response, {{"path", request.path},
                        {"execution", n},
                        {"received", request.body.size()}});
}

} // namespace Standins
