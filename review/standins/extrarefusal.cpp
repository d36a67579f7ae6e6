/// Review, case 1: the only replica of a reservation desk, one of three
/// replicas in all, sends a late second copy of some of its answers. Usage:
/// extrarefusal FOLDER RECORD
#include "fleet.h"
#include "replica.h"

#include <iostream>
#include <set>
#include <thread>

namespace {

using namespace Review;

constexpr int Gateways = 8;
constexpr double ExtraShare = 0.03;
constexpr int Clients = 27;
/// Each of these has a gateway to itself; the others share the first one.
constexpr int QuietClients = Gateways - 1;
constexpr std::chrono::seconds Duration{75};
constexpr Milliseconds Deadline{1500};
constexpr int BookingsPerView = 3;
/// Mean pause of a client between two bookings.
constexpr std::chrono::duration<double> MeanPause{0.08};

/// Sends bookings like a client of the users: one retry with a new id, on a new
/// connection and within the deadline, after a refusal that says that the
/// booking has not run.
void book(int number, const std::vector<std::unique_ptr<Gateway>> &gateways,
          Record &record, Clock::time_point from, Clock::time_point until) {
  Client client("c" + std::to_string(number), record);
  size_t to = number < QuietClients ? size_t(number) + 1 : 0;
  const std::string &address = gateways[to]->address();
  std::mt19937 random(static_cast<uint32_t>(number));
  std::exponential_distribution<double> pause(1 / MeanPause.count());
  std::this_thread::sleep_until(from);
  while (Clock::now() < until) {
    std::this_thread::sleep_for(std::chrono::duration<double>(pause(random)));
    if (random() % BookingsPerView == 0)
      client.request(address, "GET", "/view/1", Deadline);
    auto deadline = Clock::now() + Deadline;
    int status = client.request(address, "POST", "/book/1", Deadline);
    if (status != 503 && status != 429)
      continue;
    auto left = deadline - Clock::now();
    std::this_thread::sleep_for(
        std::min(std::chrono::duration<double>(client.retryAfter()),
                 std::chrono::duration<double>(left) / 3));
    client.reconnect();
    client.request(
        address, "POST", "/book/1",
        std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()));
  }
}

/// Prints the counts and returns whether the rule was kept.
bool check(Record &record) {
  std::map<std::string, int> runs;
  std::set<std::string> refused;
  std::map<std::string, int> counts;
  for (const Record::Event &it : record.events()) {
    ++counts[it.What];
    if (it.What == "run" && it.Fields.at("server") == "i-desk")
      ++runs[it.Fields.at("id")];
    if (it.What == "answered") {
      const std::string &status = it.Fields.at("status");
      ++counts["answered " + status];
      if (status == "503" || status == "429")
        refused.insert(it.Fields.at("id"));
    }
  }
  int twice = 0;
  int refusedAndRun = 0;
  for (const auto &[id, n] : runs) {
    if (n > 1) {
      ++twice;
      record.write("TWICE", {{"id", id}, {"runs", std::to_string(n)}});
    }
    if (refused.count(id) > 0) {
      ++refusedAndRun;
      record.write("REFUSED", {{"id", id}, {"runs", std::to_string(n)}});
    }
  }
  for (const auto &[what, n] : counts)
    std::cout << what << ": " << n << '\n';
  std::cout << "bookings that ran more than once: " << twice << '\n'
            << "bookings that were refused and ran: " << refusedAndRun << '\n';
  record.events();
  return twice == 0;
}

} // namespace

int main(int argc, char **argv) {
  constexpr int cannotRun = 2;
  if (argc != 3)
    return cannotRun;
  Record record(argv[2]);
  Store store(loopbackIp(1));
  store.put("keyed.op", "config", deskConfiguration().dump());
  ReplicaOptions options{"i-desk", "desk", "zone-a"};
  options.MinWork = Milliseconds(20);
  options.MaxWork = Milliseconds(100);
  if (hasTrouble())
    options.ExtraShare = ExtraShare;
  Replica desk(loopbackIp(10), options, store, record);
  Replica firstRoster(loopbackIp(11), {"i-roster0", "roster", "zone-a"}, store,
                      record);
  Replica secondRoster(loopbackIp(12), {"i-roster1", "roster", "zone-a"}, store,
                       record);
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 0; i < Gateways; ++i) {
    gateways.push_back(std::make_unique<Gateway>(i, argv[1], store, record));
    gateways.back()->start(true);
  }
  if (!awaitReady(gateways))
    return cannotRun;
  auto from = Clock::now() + std::chrono::seconds(1);
  std::vector<std::thread> clients;
  for (int i = 0; i < Clients; ++i)
    clients.emplace_back(
        [&, i] { book(i, gateways, record, from, from + Duration); });
  for (std::thread &it : clients)
    it.join();
  bool ended = false;
  for (const auto &it : gateways)
    ended = it->hasEnded() || ended;
  bool kept = check(record);
  gateways.clear();
  desk.stop();
  firstRoster.stop();
  secondRoster.stop();
  store.stop();
  std::cout.flush();
  std::_Exit(ended ? cannotRun : (kept ? 0 : 1));
}
