#include "standins/weightstorestandin.h"

namespace Standins {

namespace {
constexpr size_t ServerThreads = 16;
constexpr uint32_t FullSpeedModels = 4;
constexpr uint32_t FullSpeedAdapters = 30;
constexpr std::chrono::milliseconds AdapterTime(6);
} // namespace

uint16_t WeightStoreStandin::start(uint16_t port) {
  Server.Http.Get("/weights", [](const auto &in, auto &out) {
    answerJson(out, {{"name", in.get_param_value("name")}, {"size_mb", 1}});
  });
  Server.Http.Get("/load", [this](const auto &, auto &out) {
    std::lock_guard lock(Mutex);
    answerJson(out,
               {{"model_loads", ModelLoads}, {"adapter_loads", AdapterLoads}});
  });
  Server.Http.Post("/control", [this](const auto &in, auto &out) {
    std::lock_guard lock(Mutex);
    Slowness = controlBody(in).value("slowness", Slowness);
    answerJson(out, {{"slowness", Slowness}});
  });
  return Server.start(ServerThreads, port);
}

void WeightStoreStandin::loadModel(std::chrono::milliseconds alone) {
  std::unique_lock lock(Mutex);
  Freed.wait(lock, [this] { return ModelLoads < FullSpeedModels; });
  ++ModelLoads;
  auto time = alone * Slowness;
  lock.unlock();
  std::this_thread::sleep_for(time);
  lock.lock();
  --ModelLoads;
  Freed.notify_one();
}

void WeightStoreStandin::loadAdapter() {
  std::unique_lock lock(Mutex);
  ++AdapterLoads;
  double crowd =
      std::max(1.0, static_cast<double>(AdapterLoads) / FullSpeedAdapters);
  auto time = AdapterTime * Slowness * crowd;
  lock.unlock();
  std::this_thread::sleep_for(time);
  lock.lock();
  --AdapterLoads;
}

} // namespace Standins
