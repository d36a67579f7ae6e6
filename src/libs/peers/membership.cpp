#include "peers/membership.h"
#include "peers/peersconstants.h"

#include <algorithm>
#include <cmath>

namespace Peers::Internal {

namespace C = Constants;

namespace {

bool isUp(MemberStatus status) {
  return status == MemberStatus::Alive || status == MemberStatus::Suspect;
}

} // namespace

Membership::Membership(GossipOptions options)
    : Incarnation(options.FirstIncarnation), Options(std::move(options)) {}

bool Membership::overrides(const Update &update, const Entry &entry) const {
  if (update.Incarnation != entry.Said.Incarnation)
    return update.Incarnation > entry.Said.Incarnation;
  return update.Status > entry.Said.Status;
}

void Membership::refute(const Update &update) {
  if (SelfStatus == MemberStatus::Alive &&
      update.Status != MemberStatus::Alive && update.Incarnation >= Incarnation)
    Incarnation = update.Incarnation + 1;
}

void Membership::setStatus(Entry &entry, MemberStatus status,
                           Utils::TimePoint now) {
  entry.Said.Status = status;
  if (status == MemberStatus::Suspect)
    entry.Until = now + suspicionTime();
  if (!isUp(status))
    entry.Until = now + C::TombstoneTime;
  if (status != MemberStatus::Alive)
    NextExpiry = std::min(NextExpiry, entry.Until);
}

void Membership::countChange(bool wasUp, bool isUpNow) {
  if (wasUp == isUpNow)
    return;
  Alive += isUpNow ? 1 : -1;
  ++Changes;
}

void Membership::merge(const Update &update, Utils::TimePoint now) {
  if (update.Name == Options.Name)
    return refute(update);
  auto it = Entries.find(update.Name);
  if (it == Entries.end()) {
    if (!isUp(update.Status) || Entries.size() >= C::MaxKnownMembers ||
        update.Name.empty() || update.Name.size() > C::MaxNameBytes)
      return;
    it = Entries.emplace(update.Name, Entry()).first;
    it->second.Said.Name = update.Name;
    it->second.Said.Status = MemberStatus::Left;
    NextExpiry = now;
    it->second.Said.Incarnation = 0;
  }
  Entry &entry = it->second;
  bool wasUp = isUp(entry.Said.Status);
  bool newer = update.Incarnation > entry.Said.Incarnation ||
               (update.Incarnation == entry.Said.Incarnation &&
                update.Version > entry.Said.Version);
  if (overrides(update, entry)) {
    entry.Said.Incarnation = update.Incarnation;
    setStatus(entry, update.Status, now);
    entry.Transmissions = transmissions();
  }
  if (newer) {
    entry.Said.Where = update.Where;
    entry.Said.FailureDomain = update.FailureDomain;
    entry.Said.Version = update.Version;
    entry.Said.Applied = update.Applied;
    entry.LogLostSince.reset();
    if (update.LogLostAgeMs != NoAge)
      entry.LogLostSince = now - Utils::Milliseconds(update.LogLostAgeMs);
  }
  countChange(wasUp, isUp(entry.Said.Status));
}

void Membership::suspect(const std::string &name, Utils::TimePoint now) {
  auto it = Entries.find(name);
  if (it == Entries.end() || it->second.Said.Status != MemberStatus::Alive)
    return;
  setStatus(it->second, MemberStatus::Suspect, now);
  it->second.Transmissions = transmissions();
}

void Membership::expire(Utils::TimePoint now) {
  if (now < NextExpiry)
    return;
  NextExpiry = Utils::TimePoint::max();
  for (auto it = Entries.begin(); it != Entries.end();) {
    Entry &entry = it->second;
    if (entry.Said.Status == MemberStatus::Suspect && entry.Until <= now) {
      setStatus(entry, MemberStatus::Dead, now);
      entry.Transmissions = transmissions();
      countChange(true, false);
    }
    bool forgotten = !isUp(entry.Said.Status) && entry.Until <= now;
    if (!forgotten && entry.Said.Status != MemberStatus::Alive)
      NextExpiry = std::min(NextExpiry, entry.Until);
    it = forgotten ? Entries.erase(it) : std::next(it);
  }
}

Utils::Milliseconds Membership::suspicionTime() const {
  double factor = C::SuspicionFactor *
                  std::max(1.0, std::log10(static_cast<double>(Alive) + 1));
  return std::chrono::duration_cast<Utils::Milliseconds>(factor *
                                                         Options.Period);
}

uint32_t Membership::transmissions() const {
  return C::RetransmitFactor * static_cast<uint32_t>(std::ceil(
                                   std::log10(static_cast<double>(Alive) + 2)));
}

Update Membership::self(Utils::TimePoint now) {
  Update update;
  update.Name = Options.Name;
  update.Where = Options.Where;
  update.FailureDomain = Options.FailureDomain;
  update.Status = SelfStatus;
  update.Incarnation = Incarnation;
  update.Version = ++SelfVersion;
  update.Applied = Report.Applied;
  update.LogLostAgeMs = ageOf(Report.LostSince, now);
  return update;
}

Update Membership::refreshed(const Entry &entry, Utils::TimePoint now) const {
  Update update = entry.Said;
  update.LogLostAgeMs = ageOf(entry.LogLostSince, now);
  return update;
}

std::vector<Update> Membership::piggyback(const std::string &to,
                                          size_t maxBytes, Utils::TimePoint now,
                                          std::mt19937_64 &random) {
  std::vector<Entry *> chosen;
  for (auto &[name, entry] : Entries)
    if (entry.Transmissions > 0 && name != to)
      chosen.push_back(&entry);
  std::sort(chosen.begin(), chosen.end(), [](const Entry *l, const Entry *r) {
    return l->Transmissions > r->Transmissions;
  });
  if (!Entries.empty())
    for (size_t i = 0; i < C::FillerUpdates; ++i) {
      auto it = std::next(Entries.begin(),
                          static_cast<long>(random() % Entries.size()));
      if (it->first != to && it->second.Transmissions == 0)
        chosen.push_back(&it->second);
    }
  auto about = Entries.find(to);
  if (about != Entries.end() &&
      about->second.Said.Status != MemberStatus::Alive)
    chosen.insert(chosen.begin(), &about->second);
  std::vector<Update> updates;
  for (Entry *it : chosen) {
    Update update = refreshed(*it, now);
    size_t n = Codec::encode(update).size();
    if (n > maxBytes)
      break;
    maxBytes -= n;
    it->Transmissions -= it->Transmissions > 0 ? 1 : 0;
    updates.push_back(std::move(update));
  }
  return updates;
}

const Entry *Membership::find(const std::string &name) const {
  auto it = Entries.find(name);
  return it == Entries.end() ? nullptr : &it->second;
}

bool Membership::isReachable(const std::string &name) const {
  const Entry *entry = find(name);
  return entry && isUp(entry->Said.Status);
}

std::vector<std::string> Membership::reachable() const {
  std::vector<std::string> names;
  names.reserve(Alive);
  for (const auto &[name, entry] : Entries)
    if (isUp(entry.Said.Status))
      names.push_back(name);
  return names;
}

std::vector<std::string> Membership::suspects() const {
  std::vector<std::string> names;
  for (const auto &[name, entry] : Entries)
    if (entry.Said.Status == MemberStatus::Suspect)
      names.push_back(name);
  return names;
}

std::vector<Update> Membership::all(Utils::TimePoint now) const {
  std::vector<Update> updates;
  updates.reserve(Entries.size());
  for (const auto &[name, entry] : Entries)
    updates.push_back(refreshed(entry, now));
  return updates;
}

std::vector<MemberView> Membership::views() const {
  std::vector<MemberView> views;
  views.reserve(Entries.size());
  for (const auto &[name, entry] : Entries)
    views.push_back({name, entry.Said.Where, entry.Said.FailureDomain,
                     entry.Said.Status, entry.Said.Incarnation,
                     entry.Said.Applied, entry.LogLostSince});
  return views;
}

} // namespace Peers::Internal
