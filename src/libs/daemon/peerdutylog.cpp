#include "daemon/peerdutylog.h"
#include "codec/codec.h"
#include "daemon/recordsreply.h"
#include "history/statecodec.h"
#include "peers/age.h"
#include "utils/utils.h"

namespace Daemon::Internal {

using Environment::LogEntry;
using Environment::LogRead;
using Utils::Errc;
using Utils::Outcome;

namespace {

constexpr char ReadMethod[] = "records.read";
constexpr char StateMethod[] = "state.fetch";
constexpr size_t CacheBytes = size_t{16} << 20;
constexpr size_t MaxReplyBytes = size_t{1} << 20;
constexpr size_t MaxReplyEntries = 512;
constexpr Utils::Milliseconds LogMargin(500);
constexpr Utils::Milliseconds PeerTimeout(500);
constexpr Utils::Milliseconds StateTimeout(5000);
constexpr Utils::Milliseconds PeerPoll(150);

} // namespace

void AppendCache::add(const LogEntry &entry) {
  std::lock_guard lock(Mutex);
  if (!Entries.empty() && entry.Offset <= Entries.back().Offset)
    return;
  if (!Entries.empty() && entry.Offset != Entries.back().Offset + 1) {
    Entries.clear();
    Bytes = 0;
  }
  Entries.push_back(entry);
  Bytes += entry.Bytes.size();
  while (Bytes > MaxBytes && Entries.size() > 1) {
    Bytes -= Entries.front().Bytes.size();
    Entries.pop_front();
  }
}

std::optional<std::vector<LogEntry>>
AppendCache::read(uint64_t from, size_t maxEntries, size_t maxBytes) const {
  std::lock_guard lock(Mutex);
  if (Entries.empty() || from < Entries.front().Offset)
    return std::nullopt;
  std::vector<LogEntry> entries;
  for (size_t i = from - Entries.front().Offset;
       i < Entries.size() && entries.size() < maxEntries; ++i) {
    if (Entries[i].Bytes.size() > maxBytes)
      break;
    maxBytes -= Entries[i].Bytes.size();
    entries.push_back(Entries[i]);
  }
  return entries;
}

uint64_t AppendCache::end() const {
  std::lock_guard lock(Mutex);
  return Entries.empty() ? 0 : Entries.back().Offset + 1;
}

PeerLog::PeerLog(PeerLogSources sources, History::StateStore &store,
                 LogContact &contact, Utils::Clock clock)
    : Sources(std::move(sources)), Store(store), Contact(contact),
      Clock(std::move(clock)), Cache(CacheBytes), Thread([this] { run(); }) {}

PeerLog::~PeerLog() { stop(); }

void PeerLog::stop() {
  {
    std::lock_guard lock(Mutex);
    Stopping = true;
  }
  Changed.notify_all();
  if (Thread.joinable())
    Thread.join();
}

Environment::LogService PeerLog::service() {
  Environment::LogService service = Sources.Log;
  service.Read = [this](uint64_t from, uint32_t max, uint32_t waitMs) {
    return read({from, max, waitMs});
  };
  return service;
}

void PeerLog::serve() {
  Sources.Rpc.Handle(ReadMethod,
                     [this](const std::string &,
                            std::string_view payload) -> Outcome<std::string> {
                       auto from = Codec::decode<uint64_t>(payload);
                       if (!from)
                         return from.error();
                       return replyFrom(*from);
                     });
  serveFollowers();
  Sources.Rpc.Handle(
      StateMethod, [this](const std::string &, std::string_view) {
        return Store.read([](const History::State &state) {
          return Outcome<std::string>(History::encodeState(state));
        });
      });
}

std::string PeerLog::replyFrom(uint64_t from) const {
  auto entries = Cache.read(from, MaxReplyEntries, MaxReplyBytes);
  uint64_t held =
      Store.read([](const History::State &state) { return state.NextOffset; });
  RecordsReply reply;
  reply.From = from;
  reply.TooOld = from < held && (!entries || entries->empty());
  if (entries)
    for (LogEntry &it : *entries)
      reply.Appends.push_back(std::move(it.Bytes));
  if (auto newest = Contact.report(held).Newest) {
    reply.HasReading = true;
    reply.ReadingAgeMs = Peers::ageOf(newest->At, Clock.Now());
    reply.ReadingEnd = newest->End;
  }
  return Codec::encode(reply);
}

void PeerLog::keep(const std::vector<LogEntry> &entries) {
  for (const LogEntry &it : entries)
    Cache.add(it);
}

Outcome<LogRead> PeerLog::read(const ReadJob &job) {
  if (auto fed = readFeeder(job))
    return std::move(*fed);
  Outcome<LogRead> read = readItself(job);
  Followers.open(job.WaitMs > 0 && read && !Contact.lostSince());
  feed(UINT64_MAX);
  return read;
}

Outcome<LogRead> PeerLog::readItself(const ReadJob &job) {
  auto answered = readLog(job);
  // A log that is only slow still answers: to give up would ask it anew.
  while (!answered) {
    Outcome<LogRead> read = readPeers(job);
    if (read || stopping())
      return read;
    answered = readLog(job);
  }
  if (*answered || answered->error().Code == Errc::OutOfRange)
    return std::move(*answered);
  Utils::TimePoint end = Clock.Now() + Utils::Milliseconds(job.WaitMs);
  while (true) {
    Outcome<LogRead> read = readPeers(job);
    bool logIsBack = !Contact.lostSince();
    if (read || logIsBack || Clock.Now() >= end || !pause(PeerPoll))
      return read;
  }
}

std::optional<Outcome<LogRead>> PeerLog::readLog(const ReadJob &job) {
  Utils::TimePoint asked = Clock.Now();
  std::unique_lock lock(Mutex);
  if (!Asked) {
    Asked = job;
    Job = job;
    Changed.notify_all();
  }
  Utils::Milliseconds patience =
      Contact.lostSince() ? PeerPoll
                          : Utils::Milliseconds(job.WaitMs) + LogMargin;
  Changed.wait_for(lock, patience, [this] { return Result || Stopping; });
  if (!Result) {
    Contact.noteFailure("the log is slow to answer", asked);
    return std::nullopt;
  }
  bool same = Asked->From == job.From;
  Outcome<LogRead> result = std::move(*Result);
  Result.reset();
  Asked.reset();
  if (!result)
    return result;
  FirstRetained = result->FirstRetained;
  if (!same)
    return std::nullopt;
  keep(result->Entries);
  return result;
}

void PeerLog::run() {
  while (std::optional<ReadJob> job = awaitJob()) {
    Utils::TimePoint asked = Clock.Now();
    Outcome<LogRead> read = Sources.Log.Read(job->From, job->Max, job->WaitMs);
    {
      // In one step, so that no record is handed on while loss is reported.
      std::lock_guard lock(Mutex);
      if (read)
        Contact.noteOwn({asked, read->NextOffset});
      else if (read.error().Code != Errc::OutOfRange)
        Contact.noteFailure(read.error().What, asked);
      Result = std::move(read);
    }
    Changed.notify_all();
  }
}

Outcome<LogRead> PeerLog::readPeers(const ReadJob &job) {
  Outcome<LogRead> last = Utils::failure(
      Errc::Unavailable, "log: unavailable, and no peer answered");
  for (const std::string &it : Sources.Candidates()) {
    last = askPeer(it, job);
    if (last)
      return last;
  }
  return last;
}

Outcome<LogRead> PeerLog::askPeer(const std::string &daemon,
                                  const ReadJob &job) {
  Utils::TimePoint asked = Clock.Now();
  auto bytes = Sources.Rpc.Call(daemon, ReadMethod, Codec::encode(job.From),
                                asked + PeerTimeout);
  if (!bytes)
    return bytes.error();
  auto reply = Codec::decode<RecordsReply>(*bytes);
  if (!reply)
    return reply.error();
  LogRead read = takeReply(*reply, job, asked);
  if (reply->TooOld && fetchState(daemon))
    return Utils::failure(Errc::Unavailable,
                          "log: unavailable, state from a peer");
  if (read.Entries.empty())
    return Utils::failure(Errc::Unavailable,
                          "log: unavailable, peers hold no more");
  return read;
}

bool PeerLog::fetchState(const std::string &daemon) {
  auto bytes =
      Sources.Rpc.Call(daemon, StateMethod, "", Clock.Now() + StateTimeout);
  if (!bytes)
    return false;
  auto state = History::decodeState(*bytes);
  uint64_t held =
      Store.read([](const History::State &it) { return it.NextOffset; });
  if (!state || state->NextOffset <= held)
    return false;
  Utils::Event("state_from_peer")
      .with("peer", daemon)
      .with("next", state->NextOffset)
      .info();
  Store.replace(std::move(state.value()));
  return true;
}

bool PeerLog::stopping() {
  std::lock_guard lock(Mutex);
  return Stopping;
}

bool PeerLog::pause(Utils::Milliseconds delay) {
  std::unique_lock lock(Mutex);
  return !Changed.wait_for(lock, delay, [this] { return Stopping; });
}

} // namespace Daemon::Internal
