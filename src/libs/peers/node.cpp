#include "peers/node.h"
#include "peers/gossipcarrier.h"
#include "peers/incoming.h"
#include "peers/outgoing.h"

namespace Peers {

struct Node::Content {
  Content(NodeOptions options, Metrics::Registry &metrics, Utils::Clock clock)
      : Options(std::move(options)),
        Transport(Options.Name, Options.ClusterSecret, metrics),
        Calls(Transport, clock), Serves(Transport, clock),
        Carrier(Transport, Options, clock), Clock(std::move(clock)) {}

  std::optional<Address> addressOf(const std::string &daemon);
  std::vector<MemberView> members() {
    return Carrier.with([](const Gossip &it) { return it.members(); });
  }
  Utils::Outcome<std::string> exchange(std::string_view theirs);

  NodeOptions Options;
  Internal::Transport Transport;
  Internal::Outgoing Calls;
  Internal::Incoming Serves;
  Internal::GossipCarrier Carrier;
  Utils::Clock Clock;
  std::thread Network;
};

std::optional<Address> Node::Content::addressOf(const std::string &daemon) {
  std::optional<Address> where =
      Carrier.with([&](const Gossip &it) { return it.addressOf(daemon); });
  if (where || !Options.Roster)
    return where;
  std::map<std::string, Address> roster = Options.Roster();
  auto it = roster.find(daemon);
  return it == roster.end() ? std::nullopt : std::optional(it->second);
}

Utils::Outcome<std::string> Node::Content::exchange(std::string_view theirs) {
  return Carrier.with([&](Gossip &it) -> Utils::Outcome<std::string> {
    std::string mine = it.everything(Clock.Now());
    if (!it.takeEverything(theirs, Clock.Now()))
      return Utils::failure(Utils::Errc::Corrupt, "members: malformed");
    return mine;
  });
}

Node::Node(NodeOptions options, Metrics::Registry &metrics, Utils::Clock clock)
    : Data(std::make_unique<Content>(std::move(options), metrics,
                                     std::move(clock))) {
  Data->Serves.handle(
      Constants::ExchangeMethod,
      [content = Data.get()](const std::string &, std::string_view payload) {
        return content->exchange(payload);
      });
}

Node::~Node() { stop(); }

Rpc Node::rpc() {
  Rpc rpc;
  rpc.Call = [content = Data.get()](
                 const std::string &daemon, const std::string &method,
                 const std::string &payload, Utils::TimePoint deadline) {
    return content->Calls.call(daemon, content->addressOf(daemon), method,
                               payload, deadline);
  };
  rpc.Handle = [content = Data.get()](const std::string &method,
                                      Handler handler) {
    content->Serves.handle(method, std::move(handler));
  };
  rpc.HandleLater = [content = Data.get()](const std::string &method,
                                           LaterHandler handler) {
    content->Serves.handleLater(method, std::move(handler));
  };
  rpc.Members = [content = Data.get()] {
    return content->Carrier.with(
        [](const Gossip &it) { return it.reachable(); });
  };
  return rpc;
}

Utils::Status Node::start() {
  Utils::Status status = Data->Serves.listen(Data->Options.Listen);
  if (!status)
    return status;
  Address where{Data->Options.Listen.Host, Data->Serves.port()};
  if (status = Data->Carrier.listen(where); !status)
    return status;
  Data->Network = std::thread([content = Data.get()] {
    auto work = asio::make_work_guard(content->Transport.Io);
    content->Transport.Io.run();
  });
  return Utils::success();
}

void Node::stop() {
  if (!Data->Network.joinable())
    return;
  Data->Serves.stopWorkers();
  asio::post(Data->Transport.Io, [content = Data.get()] {
    content->Carrier.close();
    content->Serves.close();
    content->Calls.close();
    content->Transport.Io.stop();
  });
  Data->Network.join();
}

std::vector<MemberView> Node::members() const { return Data->members(); }

uint64_t Node::incarnation() const {
  return Data->Carrier.with([](const Gossip &it) { return it.incarnation(); });
}

std::map<std::string, std::optional<Utils::TimePoint>>
Node::outageReports() const {
  return Data->Carrier.with([](Gossip &it) { return it.outageReports(); });
}

bool Node::exchangeMembers(Utils::TimePoint deadline) {
  std::vector<std::string> names = rpc().Members();
  if (names.empty())
    return false;
  std::string mine = Data->Carrier.with(
      [this](Gossip &it) { return it.everything(Data->Clock.Now()); });
  const std::string &name =
      names[randombytes_uniform(static_cast<uint32_t>(names.size()))];
  auto theirs = rpc().Call(name, Constants::ExchangeMethod, mine, deadline);
  return theirs && Data->Carrier.with([&](Gossip &it) {
    return it.takeEverything(*theirs, Data->Clock.Now());
  });
}

Address Node::where() const {
  if (Data->Options.Advertise.Port != 0)
    return Data->Options.Advertise;
  return {Data->Options.Listen.Host, port()};
}

uint16_t Node::port() const { return Data->Serves.port(); }

} // namespace Peers
