#include <doctest/doctest.h>

#include "codec/codec.h"
#include "daemon/limitsduty.h"
#include "daemon/limitsmethods.h"

#include <map>

using namespace Daemon::Internal;

namespace {

const std::string Team = "menus";

/// Daemons of one process whose requests are plain calls.
struct Fleet {
  struct Node {
    Metrics::Registry Metrics;
    std::unique_ptr<LimitsDuty> Duty;
  };

  Fleet() {
    for (const char *name : {"a", "b", "c"})
      Nodes[name].Duty =
          std::make_unique<LimitsDuty>(portsOf(name), Nodes[name].Metrics);
    for (auto &[name, node] : Nodes)
      node.Duty->start();
  }
  ~Fleet() {
    for (auto &[name, node] : Nodes)
      node.Duty->stop();
  }

  LimitsPorts portsOf(const std::string &name) {
    LimitsPorts ports;
    ports.Name = name;
    ports.Rpc.Handle = [this, name](const std::string &method,
                                    const Peers::Handler &handler) {
      Handlers[name][method] = handler;
    };
    ports.Rpc.Call = [this,
                      name](const std::string &to, const std::string &method,
                            const std::string &payload, Utils::TimePoint) {
      auto answer = Handlers[to][method](name, payload);
      std::lock_guard lock(Mutex);
      ++Calls[name];
      Called.notify_all();
      return answer;
    };
    ports.Teams = [] {
      return std::map<std::string, Limits::Limit>{{Team, {1, 1000}}};
    };
    ports.Lead = [this, name] {
      std::lock_guard lock(Mutex);
      LimitsLead lead{Holder, Fence, Holder == name, Fence - 1, Former};
      return lead;
    };
    return ports;
  }
  void lead(const std::string &name) {
    std::lock_guard lock(Mutex);
    Former = Holder;
    Holder = name;
    ++Fence;
  }
  TokenGrant acquire(const std::string &name, uint64_t tokens) {
    return Nodes[name].Duty->acquire(
        Team, tokens, std::chrono::steady_clock::now() + std::chrono::hours(1));
  }
  /// Asks again until the holder has taken up its duty.
  TokenGrant acquireFirst(const std::string &name, uint64_t tokens) {
    TokenGrant grant;
    for (int i = 0; i < 1000 && !grant.Tokens; ++i)
      grant = acquire(name, tokens);
    return grant;
  }
  /// Releases the tokens and waits until the holder has heard of it.
  void release(const std::string &name, Limits::Reservation &tokens) {
    std::unique_lock lock(Mutex);
    uint64_t before = Calls[name];
    lock.unlock();
    Nodes[name].Duty->release(tokens);
    lock.lock();
    REQUIRE(Called.wait_for(lock, std::chrono::seconds(60),
                            [&] { return Calls[name] > before; }));
  }
  void deliver(const std::string &name, Limits::Reservation &tokens) {
    uint64_t n = tokens.Tokens;
    REQUIRE(Nodes[name].Duty->mayDeliver(tokens, n));
    Nodes[name].Duty->markDelivered(tokens, n);
  }

  std::mutex Mutex;
  std::condition_variable Called;
  std::map<std::string, uint64_t> Calls;
  std::string Holder = "a";
  std::string Former;
  uint64_t Fence = 1;
  std::map<std::string, std::map<std::string, Peers::Handler>> Handlers;
  std::map<std::string, Node> Nodes;
};

} // namespace

TEST_CASE_FIXTURE(Fleet, "request, tokens in reserve at another daemon, gets "
                         "them called back") {
  for (int i = 0; i < 4; ++i) {
    auto taken = acquireFirst("b", 300);
    REQUIRE(taken.Tokens);
    release("b", *taken.Tokens);
  }
  CHECK(acquire("c", 1000).Tokens);
}

TEST_CASE_FIXTURE(Fleet, "request over the rate, is refused with the time "
                         "when its tokens are there") {
  auto first = acquireFirst("b", 900);
  REQUIRE(first.Tokens);
  deliver("b", *first.Tokens);
  auto second = acquire("c", 300);
  REQUIRE(!second.Tokens);
  CHECK(!second.NoHolder);
  CHECK(second.RetryAfterMs > 100'000);
  CHECK(second.RetryAfterMs <= 202'000);
  CHECK(acquire("c", 1001).OverBurst);
}

TEST_CASE_FIXTURE(Fleet, "holder, planned stop, successor grants the rest and "
                         "no more") {
  auto first = acquireFirst("b", 400);
  REQUIRE(first.Tokens);
  Nodes["a"].Duty->end();
  lead("c");
  auto second = acquireFirst("b", 500);
  REQUIRE(second.Tokens);
  CHECK(!acquire("c", 200).Tokens);
  deliver("b", *first.Tokens);
}

TEST_CASE("holder, planned stop, waits until its state has arrived and not "
          "only left") {
  std::map<std::string, Peers::Handler> handlers;
  LimitsPorts ports;
  ports.Name = "a";
  ports.Rpc.Handle = [&](const std::string &method,
                         const Peers::Handler &handler) {
    handlers[method] = handler;
  };
  ports.Lead = [] { return LimitsLead{"a", 1, true, 0, {}, true}; };
  ports.Teams = [] { return std::map<std::string, Limits::Limit>(); };
  LimitsHolder holder(ports);
  holder.step();
  holder.end(true);
  std::string request = Codec::encode(HandoverRequest{1});
  CHECK(!handlers[HandoverTakenMethod]("b", request));
  REQUIRE(handlers[HandoverMethod]("b", request));
  CHECK(!holder.waitUntilTaken(Utils::TimePoint()));
  CHECK(!handlers[HandoverTakenMethod]("c", request));
  CHECK(!holder.waitUntilTaken(Utils::TimePoint()));
  CHECK(handlers[HandoverTakenMethod]("b", request));
  CHECK(holder.waitUntilTaken(Utils::TimePoint()));
}

TEST_CASE_FIXTURE(Fleet, "holder, crashed, successor grants nothing at first "
                         "and live grants go on") {
  auto first = acquireFirst("b", 400);
  REQUIRE(first.Tokens);
  {
    std::lock_guard lock(Mutex);
    Former.clear();
    Holder = "c";
    ++Fence;
  }
  auto second = Nodes["b"].Duty->acquire(
      Team, 100, std::chrono::steady_clock::now() + std::chrono::seconds(3));
  CHECK(!second.Tokens);
  CHECK(second.RetryAfterMs > 1000);
  deliver("b", *first.Tokens);
}

TEST_CASE_FIXTURE(
    Fleet, "no holder, request is refused at its deadline at the latest") {
  REQUIRE(acquireFirst("b", 1).Tokens);
  {
    std::lock_guard lock(Mutex);
    Holder.clear();
  }
  auto refused = Nodes["c"].Duty->acquire(
      Team, 100, std::chrono::steady_clock::now() + std::chrono::seconds(1));
  CHECK(refused.NoHolder);
  CHECK(refused.RetryAfterMs > 0);
  CHECK(refused.Link == LimitsLink::NoHolder);
  CHECK(Nodes["c"].Duty->link().Link == LimitsLink::NoHolder);
}

TEST_CASE("link to the holder, says why there are no tokens and when there may "
          "be") {
  using namespace std::chrono_literals;
  Utils::TimePoint at(1h);
  LimitsLead lead;
  lead.Holder = "a";
  LinkView view;
  observeLink(view, lead, true, at);
  CHECK(view.Link == LimitsLink::Granting);
  observeLink(view, lead, false, at + 1s);
  observeLink(view, lead, false, at + 3s);
  CHECK(linkName(view.Link) == "holder_silent");
  CHECK(linkRetryMs(view, 6s, at + 3s) == 4000);
  CHECK(linkRetryMs(view, 6s, at + 9s) == 1000);
  lead.Holder.clear();
  observeLink(view, lead, false, at + 4s);
  CHECK(linkName(view.Link) == "no_holder");
  lead.IsMember = false;
  observeLink(view, lead, false, at + 5s);
  CHECK(linkName(view.Link) == "not_member");
  CHECK(linkRetryMs(view, 6s, at + 5s) == 1000);
  CHECK(view.Since == at + 5s);
}

TEST_CASE_FIXTURE(
    Fleet, "reservation, too small for a stream, is made to hold enough") {
  auto first = acquireFirst("b", 100);
  REQUIRE(first.Tokens);
  REQUIRE(Nodes["b"].Duty->ensure(*first.Tokens, 150,
                                  std::chrono::steady_clock::now() +
                                      std::chrono::hours(1)));
  CHECK(first.Tokens->Tokens == 150);
  deliver("b", *first.Tokens);
}

TEST_CASE_FIXTURE(Fleet, "stream, out of tokens, waits for the refill and is "
                         "refused only at its deadline") {
  auto first = acquireFirst("b", 999);
  REQUIRE(first.Tokens);
  deliver("b", *first.Tokens);
  auto second = acquireFirst("c", 1);
  REQUIRE(second.Tokens);
  auto now = std::chrono::steady_clock::now();
  CHECK(
      Nodes["c"].Duty->ensure(*second.Tokens, 2, now + std::chrono::hours(1)));
  CHECK(!Nodes["c"].Duty->ensure(*second.Tokens, 900,
                                 now + std::chrono::seconds(2)));
}
