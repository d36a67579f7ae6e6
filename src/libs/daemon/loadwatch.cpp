#include "daemon/loadwatch.h"

#include "codec/codec.h"
#include "daemon/loadvector.h"

namespace Daemon::Internal {

namespace {

constexpr char DigestMethod[] = "load.digest";
constexpr char VectorMethod[] = "load.vector";
constexpr Utils::Milliseconds Period(500);
constexpr Utils::Milliseconds PeerTimeout(400);
/// Pause after a report that could not be read.
constexpr Utils::Milliseconds FailurePause(5000);
/// Daemons that read the load of one engine.
constexpr size_t WatchersPerEngine = 2;
constexpr size_t ReaderCount = 4;
constexpr size_t MaxJobs = 1024;

} // namespace

LoadWatch::LoadWatch(Context &context)
    : Shared(context), Jobs(MaxJobs),
      Random(Utils::fastHash(Utils::randomId())) {
  Shared.Rpc.Handle(DigestMethod,
                    [this](const std::string &,
                           std::string_view) -> Utils::Outcome<std::string> {
                      return Codec::encode(
                          Shared.Loads.digest(Shared.Clock.Now()));
                    });
  Shared.Rpc.Handle(
      VectorMethod,
      [this](const std::string &,
             std::string_view payload) -> Utils::Outcome<std::string> {
        auto theirs = Codec::decode<uint64_t>(payload);
        if (!theirs)
          return theirs.error();
        std::vector<std::string> names = engines();
        if (*theirs != engineListDigest(names))
          return Utils::failure(Utils::Errc::NotFound, "loads: another list");
        return encodeLoads(names, Shared.Loads, Shared.Clock.Now());
      });
}

LoadWatch::~LoadWatch() { stop(); }

void LoadWatch::start() {
  for (size_t i = 0; i < ReaderCount; ++i)
    Readers.emplace_back([this] { readReports(); });
  Rounds.start(Period, [this] { round(); });
}

void LoadWatch::stop() {
  Rounds.stop();
  Jobs.close();
  for (std::thread &it : Readers)
    if (it.joinable())
      it.join();
}

std::vector<std::string> LoadWatch::engines() const {
  return Shared.Store.read([](const History::State &state) {
    std::vector<std::string> names;
    names.reserve(state.Endpoints.size());
    for (const auto &[name, endpoint] : state.Endpoints)
      if (endpoint.Kind == History::EndpointKind::Engine &&
          endpoint.Life == History::EndpointLife::Live)
        names.push_back(name);
    return names;
  });
}

std::vector<std::string> LoadWatch::watched() const {
  std::vector<std::string> names = engines();
  std::vector<std::string> others = Shared.Rpc.Members();
  std::erase_if(names, [&](const std::string &it) {
    return !Routing::isWatcher(it, Shared.Settings.Name, others,
                               WatchersPerEngine);
  });
  return names;
}

void LoadWatch::round() {
  askEngines();
  askPeer();
}

void LoadWatch::askEngines() {
  std::vector<std::string> names = watched();
  std::set<std::string> wanted(names.begin(), names.end());
  Utils::TimePoint now = Shared.Clock.Now();
  std::lock_guard lock(Mutex);
  std::erase_if(Watches, [&](const auto &it) {
    return !it.second.Asked && wanted.count(it.first) == 0;
  });
  for (const std::string &name : names) {
    Watch &watch = Watches.try_emplace(name, name).first->second;
    if (!watch.Asked && now >= watch.NextAt)
      watch.Asked = Jobs.tryPush(std::string(name));
  }
}

void LoadWatch::askPeer() {
  std::vector<std::string> others = Shared.Rpc.Members();
  if (others.empty())
    return;
  const std::string &daemon = others[Random() % others.size()];
  if (askVector(daemon))
    return;
  Utils::TimePoint askedAt = Shared.Clock.Now();
  auto answer =
      Shared.Rpc.Call(daemon, DigestMethod, "", askedAt + PeerTimeout);
  if (!answer)
    return;
  if (auto digest = Codec::decode<Routing::LoadDigest>(*answer))
    Shared.Loads.take(*digest, askedAt);
}

bool LoadWatch::askVector(const std::string &daemon) {
  std::vector<std::string> names = engines();
  Utils::TimePoint askedAt = Shared.Clock.Now();
  auto answer = Shared.Rpc.Call(daemon, VectorMethod,
                                Codec::encode(engineListDigest(names)),
                                askedAt + PeerTimeout);
  if (!answer)
    return answer.error().Code != Utils::Errc::NotFound;
  return takeLoads(Shared.Loads, names, *answer, askedAt);
}

void LoadWatch::readReports() {
  while (auto job = Jobs.pop())
    readReport(*job);
}

void LoadWatch::readReport(const std::string &endpoint) {
  auto api = Shared.Store.read([&](const History::State &state) {
    return Shared.Clients.engine(state, endpoint);
  });
  Utils::TimePoint askedAt = Shared.Clock.Now();
  std::optional<Utils::Outcome<Engine::UsageReport>> usage;
  if (api && api->Usage)
    usage = api->Usage();
  bool done = usage && *usage;
  if (done)
    Shared.Loads.note(endpoint,
                      {(*usage)->Running + (*usage)->Queued, askedAt});
  std::lock_guard lock(Mutex);
  Watch &watch = Watches.try_emplace(endpoint, endpoint).first->second;
  if (done)
    watch.Source.recordSuccess();
  else if (usage)
    watch.Source.recordFailure(usage->error().What);
  watch.Asked = false;
  watch.NextAt = done ? askedAt : Shared.Clock.Now() + FailurePause;
}

} // namespace Daemon::Internal
