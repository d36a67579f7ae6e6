#include "history/history.h"
#include "support/cluster.h"
#include "utils/digest.h"

#include <doctest/doctest.h>
#include <set>
#include <sstream>

using namespace Support;

namespace {

constexpr const char *ModelCells[] = {"teams=kitchen", "memory_mb=1000",
                                      "kv_cache_mb=100", "max_replicas=1"};

/// Chunks of one snapshot on the log.
struct Written {
  std::set<uint32_t> Chunks;
  uint32_t Count = 0;
  uint64_t UptoOffset = 0;
  bool isWhole() const { return Chunks.size() == Count; }
};

struct LogContent {
  uint64_t First = 0;
  uint64_t Next = 0;
  std::map<std::string, Written> Snapshots;

  /// The whole snapshot that covers most and whose tail is retained.
  const Written *newestWhole() const {
    const Written *newest = nullptr;
    for (const auto &[id, it] : Snapshots)
      if (it.isWhole() && it.UptoOffset + 1 >= First &&
          (!newest || it.UptoOffset > newest->UptoOffset))
        newest = &it;
    return newest;
  }
};

/// Three daemons, not all started, and the log as it is on the platform.
struct SnapshotCluster {
  SnapshotCluster() : Key(All.newKey()) {}

  LogContent log() const {
    Json bounds = All.control("log", Json::object());
    LogContent content;
    content.First = bounds["first"].get<uint64_t>();
    content.Next = bounds["next"].get<uint64_t>();
    Json read = All.get("log", "/log/read?max=100000&from=" +
                                   std::to_string(content.First));
    if (!read.contains("records"))
      return content;
    for (const Json &it : read["records"])
      note(it["data"].get<std::string>(), content);
    return content;
  }
  static void note(const std::string &base64, LogContent &content) {
    std::string bytes;
    REQUIRE(Utils::fromBase64(base64, bytes));
    for (const History::Record &record : History::decodeRecords(bytes)) {
      const auto *chunk = std::get_if<History::SnapshotChunk>(&record);
      if (!chunk)
        continue;
      Written &written = content.Snapshots[chunk->SnapshotId];
      written.Chunks.insert(chunk->Index);
      written.Count = chunk->Count;
      written.UptoOffset = History::offsetOf(chunk->Upto);
    }
  }
  void start(std::initializer_list<int> daemons) {
    for (int it : daemons)
      All.startDaemon(it);
    for (int it : daemons)
      REQUIRE(All.waitReady(it));
  }
  void edit(const std::string &model) const {
    std::vector<std::string> words = {"table", "edit", "model", model,
                                      "weights=store/" + model};
    words.insert(words.end(), std::begin(ModelCells), std::end(ModelCells));
    RunResult result = All.command(words);
    REQUIRE_MESSAGE(result.ExitCode == 0, result.Output);
  }
  std::string models(int daemon) const {
    return All
        .send(daemon, "GET", "/v1/models", "",
              {{"Authorization", "Bearer " + Key}})
        .Body;
  }
  /// Index of the daemon that holds the duty, or -1.
  int holder(int asked) const {
    Json status = All.status(asked);
    if (!status.contains("leases"))
      return -1;
    for (const Json &it : status["leases"])
      if (it["duty"] == "snapshot" && !it["holder"].get<std::string>().empty())
        return std::stoi(it["holder"].get<std::string>().substr(1));
    return -1;
  }

  Cluster All;
  std::string Key;
};

/// A table whose snapshot has several chunks.
std::string largeTable(const std::string &keyHash, int models) {
  std::ostringstream csv;
  csv << basicTable(keyHash);
  const std::string folder(200, 'w');
  for (int i = 0; i < models; ++i)
    csv << "model,many-" << i << ",kitchen,store/" << folder << i
        << ",8000,2000,2,,,,,,\n";
  return csv.str();
}

} // namespace

TEST_CASE_FIXTURE(SnapshotCluster,
                  "snapshot is written by the duty's holder only") {
  constexpr uint64_t moreAppends = 8;
  All.importTable(basicTable(Cluster::hashOf(Key)));
  start({0, 1, 2});
  REQUIRE(eventually([&] { return log().newestWhole() != nullptr; }));
  uint64_t end = log().Next;
  REQUIRE(eventually([&] { return log().Next >= end + moreAppends; }));
  CHECK(log().Snapshots.size() == 1);
}

TEST_CASE_FIXTURE(SnapshotCluster,
                  "snapshot is rewritten before the log loses it, and a daemon "
                  "with nothing begins from it") {
  constexpr int retain = 80;
  constexpr int edits = 100;
  All.importTable(basicTable(Cluster::hashOf(Key)));
  All.control("log", {{"retain", retain}});
  start({0, 1});
  for (int i = 0; i < edits; ++i) {
    edit("late-" + std::to_string(i));
    // Leases are renewed while a busy machine holds the writer up, so that
    // edits must not run ahead of it.
    REQUIRE(eventually([&] {
      LogContent content = log();
      const Written *newest = content.newestWhole();
      uint64_t middle = content.First + (content.Next - content.First) / 2;
      return newest && (content.First == 0 || newest->UptoOffset + 1 >= middle);
    }));
  }
  CHECK(log().First > 0);
  start({2});
  std::string known = models(2);
  for (int i = 0; i < edits; ++i)
    CHECK(known.find("\"late-" + std::to_string(i) + '"') != std::string::npos);
}

TEST_CASE_FIXTURE(SnapshotCluster,
                  "snapshot whose writer dies in the middle is never used, and "
                  "its successor writes a whole one") {
  constexpr int models = 2000;
  constexpr uint64_t chunkBytes = 100'000;
  constexpr int edits = 40;
  constexpr uint64_t spareAppends = 16;
  All.importTable(largeTable(Cluster::hashOf(Key), models));
  for (int i = 0; i < edits; ++i)
    edit("late-" + std::to_string(i));
  All.control("log", {{"hold_answers_from_bytes", chunkBytes}});
  start({0, 1});
  std::string half;
  REQUIRE(eventually([&] {
    for (const auto &[id, it] : log().Snapshots)
      half = it.isWhole() ? "" : id;
    return !half.empty();
  }));
  int writer = holder(0);
  REQUIRE((writer == 0 || writer == 1));
  All.daemon(writer).kill();
  LogContent cut = log();
  REQUIRE(cut.newestWhole() == nullptr);
  uint64_t retain = uint64_t{2} * cut.Snapshots[half].Count + spareAppends;
  All.control("log",
              {{"hold_answers_from_bytes", UINT64_MAX}, {"retain", retain}});
  REQUIRE(log().First > 0);
  All.startDaemon(2);
  REQUIRE(eventually([&] { return log().newestWhole() != nullptr; }));
  REQUIRE(All.waitReady(2));
  Json other = All.status(1 - writer);
  Json begun = All.status(2);
  CHECK(begun["rows"] == other["rows"]);
  CHECK(begun["rows"].get<int>() > models);
  CHECK(All.daemonLog(2).find("why=") != std::string::npos);
}
