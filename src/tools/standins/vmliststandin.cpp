#include "standins/vmliststandin.h"

namespace Standins {

namespace {
constexpr size_t ServerThreads = 32;
constexpr int HttpUnavailable = 503;
} // namespace

uint16_t VmListStandin::start(uint16_t port) {
  Server.Http.Get("/vms", [this](const auto &, auto &out) {
    std::lock_guard lock(Mutex);
    if (Outage)
      return answerJson(out, {{"error", "outage"}}, HttpUnavailable);
    answerJson(out, current());
  });
  Server.Http.Post("/control",
                   [this](const auto &in, auto &out) { control(in, out); });
  return Server.start(ServerThreads, port);
}

Json VmListStandin::current() {
  if (!Next.is_null() && std::chrono::steady_clock::now() >= NextFrom) {
    Shown = std::move(Next);
    Next = nullptr;
  }
  return Shown;
}

void VmListStandin::control(const httplib::Request &request,
                            httplib::Response &response) {
  Json body = controlBody(request);
  std::lock_guard lock(Mutex);
  Outage = body.value("outage", Outage);
  if (body.contains("vms")) {
    Next = body["vms"];
    NextFrom = std::chrono::steady_clock::now() +
               std::chrono::milliseconds(body.value("lag_ms", 0));
  }
  answerJson(response, current());
}

} // namespace Standins
