#include "faultproxy/faultproxy.h"
#include "faultproxy/link.h"

#include "utils/digest.h"

#include <future>
#include <map>
#include <thread>

namespace FaultProxy {

struct Proxy::Content {
  uint64_t Seed = 0;
  asio::io_context Io;
  asio::executor_work_guard<asio::io_context::executor_type> Work =
      asio::make_work_guard(Io);
  std::map<std::string, std::unique_ptr<Internal::Link>> Links;
  /// Links that found no twin; they end with the proxy.
  std::vector<std::unique_ptr<Internal::Link>> Unused;
  std::thread Thread;

  /// Runs a function on the proxy's thread and waits for its result.
  template <typename F> auto onThread(F function) {
    std::promise<decltype(function())> result;
    asio::post(Io, [&] {
      if constexpr (std::is_void_v<decltype(function())>) {
        function();
        result.set_value();
      } else {
        result.set_value(function());
      }
    });
    return result.get_future().get();
  }
};

Proxy::Proxy(uint64_t seed) : Data(std::make_unique<Content>()) {
  Data->Seed = seed;
  Data->Thread = std::thread([this] { Data->Io.run(); });
}

Proxy::~Proxy() {
  Data->Io.stop();
  Data->Thread.join();
}

uint16_t Proxy::addLink(const std::string &name, Transport transport,
                        uint16_t targetPort, uint16_t listenPort) {
  return Data->onThread([&] {
    uint64_t seed = Utils::fastHash(name, Data->Seed);
    auto &link = Data->Links[name];
    link = transport == Transport::Tcp
               ? Internal::makeTcpLink(Data->Io, targetPort, listenPort, seed)
               : Internal::makeUdpLink(Data->Io, targetPort, listenPort, seed);
    return link->port();
  });
}

uint16_t Proxy::addTwinLinks(const std::string &tcpName,
                             const std::string &udpName, uint16_t targetPort) {
  return Data->onThread([&] {
    uint64_t tcpSeed = Utils::fastHash(tcpName, Data->Seed);
    uint64_t udpSeed = Utils::fastHash(udpName, Data->Seed);
    // Another process may use the number for the other transport.
    while (true) {
      auto tcp = Internal::makeTcpLink(Data->Io, targetPort, 0, tcpSeed);
      uint16_t port = tcp->port();
      try {
        Data->Links[udpName] =
            Internal::makeUdpLink(Data->Io, targetPort, port, udpSeed);
      } catch (const std::system_error &) {
        Data->Unused.push_back(std::move(tcp));
        continue;
      }
      Data->Links[tcpName] = std::move(tcp);
      return port;
    }
  });
}

void Proxy::setFaults(const std::string &name, Direction direction,
                      const Faults &faults) {
  Data->onThread([&] {
    auto it = Data->Links.find(name);
    assert(it != Data->Links.end() && "no link of this name");
    it->second->state().way(direction).Value = faults;
    it->second->faultsChanged();
  });
}

void Proxy::cut(const std::string &name) {
  Data->onThread([&] { Data->Links.at(name)->cut(); });
}

void Proxy::heal() {
  Data->onThread([&] {
    for (auto &[name, link] : Data->Links)
      for (Internal::Way &way : link->state().Ways)
        way.Value = Faults();
  });
}

uint64_t Proxy::bytesPassed(const std::string &name,
                            Direction direction) const {
  return Data->onThread(
      [&] { return Data->Links.at(name)->state().way(direction).Bytes; });
}

} // namespace FaultProxy
