#include "standins/enginestandin.h"

#include "utils/digest.h"

namespace Standins {

namespace {

constexpr size_t ServerThreads = 64;
constexpr int HttpConflict = 409;
constexpr int HttpNotLoaded = 503;
constexpr int HttpOutOfMemory = 507;
constexpr int HttpBadRequest = 400;
constexpr uint64_t DefaultMaxTokens = 16;
constexpr size_t MaxJournal = 100000;
/// A load from local disk takes this share of a load from the weight store.
constexpr int DiskSpeedup = 4;
/// A load from memory takes this share of it.
constexpr int MemorySpeedup = 20;
constexpr size_t MaxSnapshots = 1000;

std::string promptOf(const Json &body) {
  if (body.contains("messages") && !body["messages"].empty())
    return body["messages"].back().value("content", std::string());
  return body.value("prompt", std::string());
}

uint64_t wordsIn(const std::string &text) {
  std::istringstream in(text);
  return static_cast<uint64_t>(
      std::distance(std::istream_iterator<std::string>(in), {}));
}

/// Deterministic answer: the first token names the prompt.
std::string tokenAt(const std::string &prompt, uint64_t i) {
  if (i == 0)
    return "re:" + std::to_string(Utils::fastHash(prompt));
  return " w" + std::to_string(i);
}

Json headersOf(const httplib::Request &request) {
  Json headers = Json::object();
  for (const auto &[name, value] : request.headers)
    headers[name] = value;
  return headers;
}

Json chunkOf(const std::string &id, const std::string &model, bool chat,
             const std::string &text) {
  Json choice = {{"index", 0}};
  if (chat)
    choice["delta"] = {{"content", text}};
  else
    choice["text"] = text;
  return {{"id", id}, {"model", model}, {"choices", Json::array({choice})}};
}

Json usageOf(const std::string &prompt, uint64_t generated) {
  uint64_t n = wordsIn(prompt);
  return {{"prompt_tokens", n},
          {"completion_tokens", generated},
          {"total_tokens", n + generated}};
}

} // namespace

EngineStandin::EngineStandin(EngineOptions options, WeightStoreStandin &store)
    : Options(std::move(options)), Store(store) {}

uint16_t EngineStandin::start(uint16_t port) {
  httplib::Server &http = Server.Http;
  http.Post("/admin/load",
            [this](const auto &in, auto &out) { load(in, out); });
  http.Post("/admin/unload",
            [this](const auto &in, auto &out) { unload(in, out); });
  http.Get("/admin/state", [this](const auto &, auto &out) { state(out); });
  http.Get("/admin/usage", [this](const auto &, auto &out) {
    std::lock_guard lock(Mutex);
    answerJson(out, {{"running", seenReport().at("running")}, {"queued", 0}});
  });
  http.Post("/control",
            [this](const auto &in, auto &out) { control(in, out); });
  http.Get("/admin/journal", [this](const auto &, auto &out) {
    std::lock_guard lock(Mutex);
    answerJson(out, Journal);
  });
  auto completions = [this](const auto &in, auto &out) { complete(in, out); };
  http.Post("/v1/completions", completions);
  http.Post("/v1/chat/completions", completions);
  return Server.start(ServerThreads, port);
}

void EngineStandin::stop() {
  {
    std::lock_guard lock(Mutex);
    Stopping = true;
  }
  Released.notify_all();
  Server.stop();
  for (std::thread &it : Loads)
    if (it.joinable())
      it.join();
}

void EngineStandin::note(Json entry) {
  if (Journal.size() < MaxJournal)
    Journal.push_back(std::move(entry));
}

bool EngineStandin::oldFence(const std::string &model, uint64_t fence) {
  uint64_t &newest = Fences[model];
  if (Options.ChecksFencing && fence < newest)
    return true;
  newest = std::max(newest, fence);
  return false;
}

void EngineStandin::waitForOrder() {
  std::chrono::milliseconds delay;
  {
    std::lock_guard lock(Mutex);
    delay = OrderDelay;
  }
  std::this_thread::sleep_for(delay);
}

void EngineStandin::answerOrder(httplib::Response &response, const Json &body,
                                int status) {
  if (LoseAnswers == 0)
    return answerJson(response, body, status);
  --LoseAnswers;
  note({{"fault", "answer lost"}});
  response.set_content_provider(
      1, "application/json",
      [](size_t, size_t, httplib::DataSink &) { return false; });
}

uint64_t EngineStandin::usedMb() const {
  uint64_t used = 0;
  for (const auto &[model, held] : Models)
    used += held.MemoryMb;
  return used;
}

std::string EngineStandin::loadFault(const std::string &model,
                                     const std::string &base,
                                     uint64_t neededMb) const {
  if (Models.count(model))
    return "";
  if (usedMb() + neededMb > Options.MemoryMb)
    return "out of memory";
  auto it = Models.find(base);
  if (!base.empty() && (it == Models.end() || it->second.State != "ready"))
    return "base not ready";
  return "";
}

void EngineStandin::load(const httplib::Request &request,
                         httplib::Response &response) {
  Json body = controlBody(request);
  std::string model = body.value("model", std::string());
  std::string replica = body.value("replica", std::string());
  std::string base = body.value("base", std::string());
  uint64_t fence = body.value("fence", uint64_t{0});
  uint64_t neededMb = body.value("memory_mb", uint64_t{0});
  waitForOrder();
  std::lock_guard lock(Mutex);
  note({{"order", "load"},
        {"model", model},
        {"fence", fence},
        {"replica", replica}});
  if (oldFence(model, fence))
    return answerOrder(response, {{"error", "old fence"}}, HttpConflict);
  if (std::string fault = loadFault(model, base, neededMb); !fault.empty()) {
    note({{"fault", fault}, {"model", model}});
    return answerOrder(response, {{"error", fault}}, HttpOutOfMemory);
  }
  if (Models.count(model))
    return answerOrder(response, {{"state", Models[model].State}}, 200);
  uint64_t number = ++LoadNumber;
  Models[model] = {replica, base, "loading", neededMb, fence, 0, number, 0};
  changed();
  std::string weights = body.value("weights", std::string());
  Loads.emplace_back(
      [=, this] { finishLoad(model, weights, !base.empty(), number); });
  answerOrder(response, {{"state", "loading"}}, 202);
}

void EngineStandin::finishLoad(const std::string &model,
                               const std::string &weights, bool adapter,
                               uint64_t number) {
  bool onDisk = false;
  bool inMemory = false;
  {
    std::lock_guard lock(Mutex);
    onDisk = OnDisk.count(weights) != 0;
    inMemory = InMemory.count(weights) != 0;
  }
  if (adapter)
    Store.loadAdapter();
  else if (inMemory)
    std::this_thread::sleep_for(Options.ModelLoadTime / MemorySpeedup);
  else if (onDisk)
    std::this_thread::sleep_for(Options.ModelLoadTime / DiskSpeedup);
  else
    Store.loadModel(Options.ModelLoadTime);
  std::lock_guard lock(Mutex);
  OnDisk.insert(weights);
  InMemory.insert(weights);
  auto it = Models.find(model);
  if (it == Models.end() || it->second.Load != number)
    return;
  if (FailLoads > 0) {
    --FailLoads;
    note({{"fault", "load died"}, {"model", model}});
    Models.erase(it);
  } else {
    it->second.State = "ready";
  }
  changed();
}

void EngineStandin::unload(const httplib::Request &request,
                           httplib::Response &response) {
  Json body = controlBody(request);
  std::string model = body.value("model", std::string());
  std::string replica = body.value("replica", std::string());
  uint64_t fence = body.value("fence", uint64_t{0});
  waitForOrder();
  std::lock_guard lock(Mutex);
  note({{"order", "unload"},
        {"model", model},
        {"fence", fence},
        {"replica", replica}});
  if (oldFence(model, fence))
    return answerOrder(response, {{"error", "old fence"}}, HttpConflict);
  auto it = Models.find(model);
  if (it != Models.end() && it->second.Replica == replica) {
    if (it->second.Running > 0)
      note({{"fault", "unloaded while running"}, {"model", model}});
    Models.erase(it);
    changed();
  }
  answerOrder(response, {{"state", "gone"}}, 200);
}

Json EngineStandin::report() const {
  Json models = Json::array();
  for (const auto &[model, held] : Models)
    models.push_back({{"model", model},
                      {"replica", held.Replica},
                      {"state", held.State},
                      {"fence", held.Fence},
                      {"running", held.Running},
                      {"served", held.Served}});
  return {{"models", models},          {"memory_used_mb", usedMb()},
          {"cached_on_disk", OnDisk},  {"cached_in_memory", InMemory},
          {"running", Running.load()}, {"queued", 0}};
}

void EngineStandin::changed() {
  if (ReportLag.count() == 0)
    return;
  Snapshots.push_back({Clock::now(), report()});
  if (Snapshots.size() > MaxSnapshots)
    Snapshots.pop_front();
}

void EngineStandin::state(httplib::Response &response) {
  std::lock_guard lock(Mutex);
  answerJson(response, seenReport());
}

Json EngineStandin::seenReport() {
  if (ReportLag.count() == 0)
    return report();
  auto seenBy = Clock::now() - ReportLag;
  while (Snapshots.size() > 1 && Snapshots[1].At <= seenBy)
    Snapshots.pop_front();
  return Snapshots.empty() ? report() : Snapshots.front().Report;
}

void EngineStandin::control(const httplib::Request &request,
                            httplib::Response &response) {
  Json body = controlBody(request);
  std::lock_guard lock(Mutex);
  ReportLag =
      std::chrono::milliseconds(body.value("report_lag_ms", ReportLag.count()));
  OrderDelay = std::chrono::milliseconds(
      body.value("order_delay_ms", OrderDelay.count()));
  FailLoads = body.value("fail_loads", FailLoads);
  LoseAnswers = body.value("lose_answers", LoseAnswers);
  HoldTokens = body.value("hold_tokens", HoldTokens);
  Released.notify_all();
  if (body.value("restart", false)) {
    note({{"fault", "restart"}});
    Models.clear();
    InMemory.clear();
  }
  changed();
  answerJson(response, report());
}

void EngineStandin::begin(const std::string &model) {
  ++Running;
  std::lock_guard lock(Mutex);
  if (auto it = Models.find(model); it != Models.end()) {
    ++it->second.Running;
    ++it->second.Served;
  }
  changed();
}

void EngineStandin::end(const std::string &model) {
  --Running;
  std::lock_guard lock(Mutex);
  auto it = Models.find(model);
  if (it != Models.end() && it->second.Running > 0)
    --it->second.Running;
  changed();
}

void EngineStandin::waitForToken(int64_t priority) {
  {
    std::unique_lock lock(Mutex);
    Released.wait(lock, [this] { return !HoldTokens || Stopping; });
  }
  uint32_t batch = std::max(Running.load(), 1U);
  uint32_t slowdown =
      (batch + Options.FullSpeedBatch - 1) / Options.FullSpeedBatch;
  if (slowdown > 1 && priority <= 0)
    slowdown *= 2;
  std::this_thread::sleep_for(Options.TokenTime * slowdown);
}

void EngineStandin::complete(const httplib::Request &request,
                             httplib::Response &response) {
  Json body = Json::parse(request.body, nullptr, false);
  std::string id = request.get_header_value("X-Request-Id");
  response.set_header("X-Request-Id", id);
  if (!body.is_object())
    return answerJson(response, {{"error", "not JSON"}}, HttpBadRequest);
  std::string model = body.value("model", std::string());
  {
    std::lock_guard lock(Mutex);
    note({{"call", id},
          {"path", request.path},
          {"model", model},
          {"headers", headersOf(request)},
          {"body", request.body}});
    auto it = Models.find(model);
    if (it == Models.end() || it->second.State != "ready")
      return answerJson(response, {{"error", "model not loaded"}},
                        HttpNotLoaded);
  }
  bool chat = request.path == "/v1/chat/completions";
  if (body.value("stream", false))
    return stream(body, chat, id, response);
  std::string prompt = promptOf(body);
  uint64_t n = body.value("max_tokens", DefaultMaxTokens);
  std::string text;
  int64_t priority = body.value("priority", int64_t{0});
  begin(model);
  for (uint64_t i = 0; i < n && !Stopping; ++i) {
    waitForToken(priority);
    text += tokenAt(prompt, i);
  }
  end(model);
  Json choice = {{"index", 0}, {"finish_reason", "stop"}};
  if (chat)
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  else
    choice["text"] = text;
  answerJson(response, {{"id", id},
                        {"model", model},
                        {"choices", Json::array({choice})},
                        {"usage", usageOf(prompt, n)}});
}

void EngineStandin::stream(const Json &body, bool chat, const std::string &id,
                           httplib::Response &response) {
  std::string prompt = promptOf(body);
  std::string model = body.value("model", std::string());
  uint64_t n = body.value("max_tokens", DefaultMaxTokens);
  int64_t priority = body.value("priority", int64_t{0});
  response.set_chunked_content_provider(
      "text/event-stream", [=, this](size_t, httplib::DataSink &sink) {
        begin(model);
        uint64_t i = 0;
        bool open = true;
        for (; i < n && open && !Stopping; ++i) {
          waitForToken(priority);
          std::string event =
              "data: " + chunkOf(id, model, chat, tokenAt(prompt, i)).dump() +
              "\n\n";
          open = sink.write(event.data(), event.size());
        }
        end(model);
        if (!open) {
          std::lock_guard lock(Mutex);
          note({{"cancelled", id}, {"tokens", i}});
          return false;
        }
        Json last = {{"id", id},
                     {"model", model},
                     {"choices", Json::array()},
                     {"usage", usageOf(prompt, n)}};
        std::string tail = "data: " + last.dump() + "\n\ndata: [DONE]\n\n";
        sink.write(tail.data(), tail.size());
        sink.done();
        return true;
      });
}

} // namespace Standins
