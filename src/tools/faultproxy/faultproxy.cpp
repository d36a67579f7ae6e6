#include "faultproxy/faultproxy.h"
#include "faultproxy/link.h"

#include "utils/digest.h"

#include <future>
#include <map>
#include <thread>

namespace FaultProxy {

struct Proxy::Impl {
  uint64_t Seed = 0;
  asio::io_context Io;
  asio::executor_work_guard<asio::io_context::executor_type> Work =
      asio::make_work_guard(Io);
  std::map<std::string, std::unique_ptr<Internal::Link>> Links;
  /// TCP links whose port number was taken for UDP. They stay open until the
  /// proxy is destroyed, so that the next attempt gets another port.
  std::vector<std::unique_ptr<Internal::Link>> UnpairedLinks;
  std::thread Thread;

  /// Runs a function on the proxy thread and waits for its result.
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

Proxy::Proxy(uint64_t seed) : Data(std::make_unique<Impl>()) {
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

uint16_t Proxy::addPairedLinks(const std::string &tcpName,
                               const std::string &udpName,
                               uint16_t targetPort) {
  return Data->onThread([&] {
    uint64_t tcpSeed = Utils::fastHash(tcpName, Data->Seed);
    uint64_t udpSeed = Utils::fastHash(udpName, Data->Seed);
    // The port that the TCP link was given may be in use for UDP: try another.
    while (true) {
      auto tcp = Internal::makeTcpLink(Data->Io, targetPort, 0, tcpSeed);
      uint16_t port = tcp->port();
      try {
        Data->Links[udpName] =
            Internal::makeUdpLink(Data->Io, targetPort, port, udpSeed);
      } catch (const std::system_error &) {
        Data->UnpairedLinks.push_back(std::move(tcp));
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
    assert(it != Data->Links.end() && "unknown link name");
    it->second->state().stateOf(direction).ActiveFaults = faults;
    it->second->faultsChanged();
  });
}

void Proxy::cut(const std::string &name) {
  Data->onThread([&] { Data->Links.at(name)->cut(); });
}

void Proxy::heal() {
  Data->onThread([&] {
    for (auto &[name, link] : Data->Links)
      for (Internal::DirectionState &it : link->state().Directions)
        it.ActiveFaults = Faults();
  });
}

uint64_t Proxy::bytesPassed(const std::string &name,
                            Direction direction) const {
  return Data->onThread(
      [&] { return Data->Links.at(name)->state().stateOf(direction).Bytes; });
}

} // namespace FaultProxy
