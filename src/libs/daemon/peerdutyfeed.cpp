#include "codec/codec.h"
#include "daemon/peerdutylog.h"
#include "daemon/recordsreply.h"
#include "peers/age.h"
#include "utils/utils.h"

namespace Daemon::Internal {

using Environment::LogRead;
using Utils::Errc;
using Utils::Outcome;

namespace {

constexpr char FollowMethod[] = "records.follow";
/// How long the answer of a feeder may take beyond the wait for records.
constexpr Utils::Milliseconds FeederMargin(500);
/// How long the log is read after a feeder has failed.
constexpr Utils::Milliseconds FeederPause(5000);
/// Between two questions for the log's end by a daemon that is fed.
constexpr Utils::Milliseconds EndPeriod(1200);

} // namespace

void PeerLog::serveFollowers() {
  Sources.Rpc.HandleLater(FollowMethod, [this](const std::string &,
                                               std::string_view payload,
                                               const Peers::Answer &answer) {
    auto from = Codec::decode<uint64_t>(payload);
    if (!from)
      return answer(from.error());
    if (!Followers.add(*from, answer))
      return answer(Utils::failure(Errc::Unavailable,
                                   "log: not read by this daemon now"));
    // Looked at after the question is kept, so that no record is missed; the
    // store has what was read a moment later than the cache.
    uint64_t held = Store.read(
        [](const History::State &state) { return state.NextOffset; });
    feed(std::max(held, Cache.end()));
  });
}

void PeerLog::feed(uint64_t below) {
  for (const LogFollowers::Waiting &it : Followers.take(below))
    it.Answer(replyFrom(it.From));
}

std::optional<std::string> PeerLog::feederNow(const ReadJob &job) {
  bool maySpeak = job.WaitMs > 0 && Clock.Now() >= FeedFrom &&
                  !Contact.lostSince() && Sources.Feeder;
  return maySpeak ? Sources.Feeder() : std::nullopt;
}

void PeerLog::setFed(bool fed) {
  {
    std::lock_guard lock(Mutex);
    if (Fed == fed)
      return;
    Fed = fed;
    EndDue = Clock.Now();
  }
  Changed.notify_all();
}

std::optional<LogRead> PeerLog::readFeeder(const ReadJob &job) {
  std::optional<std::string> feeder = feederNow(job);
  setFed(feeder.has_value());
  if (!feeder)
    return std::nullopt;
  Followers.open(false);
  feed(UINT64_MAX);
  Utils::TimePoint asked = Clock.Now();
  auto bytes =
      Sources.Rpc.Call(*feeder, FollowMethod, Codec::encode(job.From),
                       asked + Utils::Milliseconds(job.WaitMs) + FeederMargin);
  auto reply = bytes ? Codec::decode<RecordsReply>(*bytes)
                     : Outcome<RecordsReply>(bytes.error());
  if (reply && !reply->TooOld)
    return takeReply(*reply, job, asked);
  FeedFrom = Clock.Now() + FeederPause;
  setFed(false);
  Utils::Event("feeder_failed")
      .with("peer", *feeder)
      .with("why", reply ? "it holds newer records only" : reply.error().What)
      .info();
  return std::nullopt;
}

LogRead PeerLog::takeReply(const RecordsReply &reply, const ReadJob &job,
                           Utils::TimePoint asked) {
  if (reply.HasReading)
    Contact.noteTold(
        {asked - Peers::slowestClock(reply.ReadingAgeMs), reply.ReadingEnd});
  LogRead read;
  {
    std::lock_guard lock(Mutex);
    read.FirstRetained = std::min(FirstRetained, job.From);
  }
  read.NextOffset = job.From + reply.Appends.size();
  read.Entries.reserve(reply.Appends.size());
  for (size_t i = 0; i < reply.Appends.size(); ++i)
    read.Entries.push_back({job.From + i, reply.Appends[i]});
  keep(read.Entries);
  return read;
}

std::optional<PeerLog::ReadJob> PeerLog::awaitJob() {
  std::unique_lock lock(Mutex);
  while (!Job && !Stopping) {
    if (!Fed) {
      Changed.wait(lock);
      continue;
    }
    auto left = EndDue - Clock.Now();
    if (left > Utils::Milliseconds(0)) {
      Changed.wait_for(lock, left);
      continue;
    }
    lock.unlock();
    readEnd();
    lock.lock();
  }
  return Stopping ? std::nullopt : std::exchange(Job, std::nullopt);
}

void PeerLog::readEnd() {
  uint64_t held =
      Store.read([](const History::State &state) { return state.NextOffset; });
  Utils::TimePoint asked = Clock.Now();
  Outcome<LogRead> read = Sources.Log.Read(held, 1, 0);
  std::lock_guard lock(Mutex);
  EndDue = asked + EndPeriod;
  if (read) {
    Contact.noteOwn({asked, read->NextOffset});
    FirstRetained = read->FirstRetained;
  } else if (read.error().Code != Errc::OutOfRange) {
    Contact.noteFailure(read.error().What, asked);
  }
}

} // namespace Daemon::Internal
