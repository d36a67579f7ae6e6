#include "standins/enginestandin.h"
#include "standins/logstandin.h"
#include "standins/servicestandin.h"
#include "standins/vmliststandin.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <asio.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

ABSL_FLAG(int, engines, 2, "number of engine stand-ins");
ABSL_FLAG(int, services, 1, "number of plain service stand-ins");
ABSL_FLAG(int, daemons, 3, "number of daemons to write settings for");
ABSL_FLAG(int, domains, 3, "number of failure domains");
ABSL_FLAG(int, memory_mb, 24000, "memory of each engine, MB");
ABSL_FLAG(int, load_ms, 300, "time that a model takes to load alone");
ABSL_FLAG(int, token_ms, 5, "time that a token takes");
ABSL_FLAG(bool, checks_fencing, true, "whether engines check fencing numbers");
ABSL_FLAG(std::string, out, "run", "folder for settings and addresses");

namespace {

using Standins::Json;

std::string addressOf(uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::string domainOf(int i) {
  return "domain-" + std::to_string(i % absl::GetFlag(FLAGS_domains));
}

/// A block of ports below the ephemeral range, so that no outgoing connection
/// takes one. The first port is kept bound, so that no other process takes the
/// block, also while a daemon that has a port of it is not running.
class PortBlock {
public:
  PortBlock() {
    do
      Next = firstPortOf(Block++);
    while (!bind(Holder, Next));
    ++Next;
  }
  std::vector<uint16_t> take(size_t n) {
    std::vector<uint16_t> ports;
    for (; ports.size() < n; ++Next) {
      asio::ip::tcp::acceptor probe(Context);
      if (bind(probe, Next))
        ports.push_back(Next);
    }
    return ports;
  }

private:
  static uint16_t firstPortOf(int block) {
    constexpr int firstPort = 12000;
    constexpr int blockSize = 200;
    constexpr int blockCount = 100;
    return static_cast<uint16_t>(firstPort + block % blockCount * blockSize);
  }
  static bool bind(asio::ip::tcp::acceptor &acceptor, uint16_t port) {
    std::error_code ec;
    acceptor = asio::ip::tcp::acceptor(acceptor.get_executor());
    acceptor.open(asio::ip::tcp::v4(), ec);
    acceptor.bind({asio::ip::address_v4::loopback(), port}, ec);
    return !ec;
  }

  asio::io_context Context;
  asio::ip::tcp::acceptor Holder{Context};
  int Block = getpid();
  uint16_t Next = 0;
};

void writeFile(const std::string &name, const Json &body) {
  std::ofstream out(std::filesystem::path(absl::GetFlag(FLAGS_out)) / name);
  out << body.dump(2) << '\n';
}

Json daemonSettings(int i, const std::vector<uint16_t> &ports,
                    const Json &platform) {
  Json seeds = Json::array();
  for (size_t k = 2; k < ports.size(); k += 3)
    seeds.push_back(addressOf(ports[k]));
  size_t at = static_cast<size_t>(i) * 3;
  return {{"daemon",
           {{"name", "d" + std::to_string(i)},
            {"failure_domain", domainOf(i)},
            {"listen_address", "127.0.0.1"},
            {"http_port", ports[at]},
            {"admin_port", ports[at + 1]},
            {"peer_port", ports[at + 2]}}},
          {"platform", platform},
          {"peers",
           {{"cluster_secret", "only for stand-ins on loopback"},
            {"seeds", seeds}}}};
}

} // namespace

int main(int argc, char **argv) {
  absl::ParseCommandLine(argc, argv);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  std::filesystem::create_directories(absl::GetFlag(FLAGS_out));

  Standins::LogStandin log;
  Standins::WeightStoreStandin store;
  std::vector<std::unique_ptr<Standins::EngineStandin>> engines;
  std::vector<std::unique_ptr<Standins::ServiceStandin>> services;
  Json vms = Json::array();
  for (int i = 0; i < absl::GetFlag(FLAGS_engines); ++i) {
    Standins::EngineOptions options;
    options.Name = "engine-" + std::to_string(i);
    options.MemoryMb = static_cast<uint64_t>(absl::GetFlag(FLAGS_memory_mb));
    options.ChecksFencing = absl::GetFlag(FLAGS_checks_fencing);
    options.ModelLoadTime =
        std::chrono::milliseconds(absl::GetFlag(FLAGS_load_ms));
    options.TokenTime =
        std::chrono::milliseconds(absl::GetFlag(FLAGS_token_ms));
    engines.push_back(
        std::make_unique<Standins::EngineStandin>(options, store));
    vms.push_back({{"name", options.Name},
                   {"kind", "engine"},
                   {"state", "live"},
                   {"address", "127.0.0.1"},
                   {"port", engines.back()->start()},
                   {"failure_domain", domainOf(i)},
                   {"memory_mb", options.MemoryMb},
                   {"checks_fencing", options.ChecksFencing}});
  }
  for (int i = 0; i < absl::GetFlag(FLAGS_services); ++i) {
    services.push_back(std::make_unique<Standins::ServiceStandin>());
    vms.push_back({{"name", "desk-" + std::to_string(i)},
                   {"kind", "service"},
                   {"state", "live"},
                   {"address", "127.0.0.1"},
                   {"port", services.back()->start()},
                   {"failure_domain", domainOf(i)},
                   {"service", "desk"}});
  }
  Standins::VmListStandin vmList(vms);
  Json platform = {{"log", addressOf(log.start())},
                   {"vm_list", addressOf(vmList.start())},
                   {"weight_store", addressOf(store.start())}};
  int daemons = absl::GetFlag(FLAGS_daemons);
  PortBlock block;
  std::vector<uint16_t> ports = block.take(static_cast<size_t>(daemons) * 3);
  for (int i = 0; i < daemons; ++i)
    writeFile("d" + std::to_string(i) + ".json",
              daemonSettings(i, ports, platform));
  writeFile("standins.json",
            {{"platform", platform}, {"vms", vms}, {"ports", ports}});
  std::cout << "ready" << std::endl;

  int signal = 0;
  sigwait(&signals, &signal);
  log.stop();
  return 0;
}
