#include "peers/gossipcore.h"
#include "peers/peersconstants.h"

#include <algorithm>

namespace Peers {

namespace C = Constants;

using Internal::GossipKind;
using Internal::GossipMessage;
using Internal::Probe;
using Utils::TimePoint;

Datagram Gossip::Content::ping(const std::string &name, const Address &where,
                               TimePoint now, int64_t wallMs) {
  GossipMessage message;
  message.To = name;
  message.ProbeId = ++LastProbeId;
  Probe probe;
  probe.Target = name;
  probe.Where = where;
  probe.SentAt = now;
  probe.IndirectAt = now + scaled(C::ProbeTimeout);
  probe.Deadline = now + scaled(Options.Period);
  if (Probes.size() < C::MaxPendingProbes)
    Probes[message.ProbeId] = probe;
  return compose(std::move(message), where, now, wallMs);
}

std::optional<std::string> Gossip::Content::nextTarget() {
  while (true) {
    if (Round.empty()) {
      Round = Members.reachable();
      std::shuffle(Round.begin(), Round.end(), Random);
    }
    if (Round.empty())
      return std::nullopt;
    std::string name = std::move(Round.back());
    Round.pop_back();
    if (Members.isReachable(name))
      return name;
  }
}

void Gossip::Content::probeStranger(TimePoint now, int64_t wallMs,
                                    std::vector<Datagram> &out) {
  std::vector<std::pair<std::string, Address>> strangers;
  std::vector<Address> known = {Options.Where};
  for (const MemberView &it : Members.views()) {
    if (Members.isReachable(it.Name))
      known.push_back(it.Where);
    else if (it.Status == MemberStatus::Dead)
      strangers.emplace_back(it.Name, it.Where);
  }
  auto isKnown = [&](const Address &where) {
    return std::find(known.begin(), known.end(), where) != known.end();
  };
  for (const auto &[name, where] : Roster)
    if (name != Options.Name && !Members.find(name))
      strangers.emplace_back(name, where);
  for (const Address &it : Options.Seeds)
    if (!isKnown(it))
      strangers.emplace_back("", it);
  if (strangers.empty())
    return;
  const auto &[name, where] = strangers[Random() % strangers.size()];
  out.push_back(ping(name, where, now, wallMs));
}

void Gossip::Content::probeSuspect(TimePoint now, int64_t wallMs,
                                   std::vector<Datagram> &out) {
  std::vector<std::string> names = Members.suspects();
  if (names.empty())
    return;
  const std::string &name = names[Random() % names.size()];
  out.push_back(ping(name, Members.find(name)->Said.Where, now, wallMs));
}

std::vector<Datagram> Gossip::Content::probeNext(TimePoint now,
                                                 int64_t wallMs) {
  std::vector<Datagram> out;
  NextProbe =
      now + (Members.Report.LostSince ? Options.OutagePeriod : Options.Period);
  std::optional<std::string> name = nextTarget();
  if (name)
    out.push_back(ping(*name, Members.find(*name)->Said.Where, now, wallMs));
  probeSuspect(now, wallMs, out);
  if (!name || ++Periods % C::StrangerEvery == 0)
    probeStranger(now, wallMs, out);
  return out;
}

void Gossip::Content::askOthers(uint64_t id, const Probe &probe, TimePoint now,
                                int64_t wallMs, std::vector<Datagram> &out) {
  std::vector<std::string> names = Members.reachable();
  std::erase(names, probe.Target);
  std::shuffle(names.begin(), names.end(), Random);
  names.resize(std::min(names.size(), C::IndirectProbes));
  for (const std::string &it : names) {
    GossipMessage message;
    message.Kind = GossipKind::PingRequest;
    message.To = it;
    message.ProbeId = id;
    message.TargetName = probe.Target;
    message.Target = probe.Where;
    out.push_back(
        compose(std::move(message), Members.find(it)->Said.Where, now, wallMs));
  }
}

void Gossip::Content::checkProbes(TimePoint now, int64_t wallMs,
                                  std::vector<Datagram> &out) {
  for (auto &[id, probe] : Probes) {
    if (probe.Target.empty() || probe.Indirect || now < probe.IndirectAt)
      continue;
    probe.Indirect = true;
    if (Members.isReachable(probe.Target))
      askOthers(id, probe, now, wallMs, out);
  }
  std::erase_if(Probes, [&](const auto &it) {
    if (now < it.second.Deadline)
      return false;
    if (!Members.isReachable(it.second.Target))
      return true;
    Members.suspect(it.second.Target, now);
    LocalHealth = std::min(LocalHealth + 1, C::MaxLocalHealth);
    return true;
  });
  std::erase_if(Relays,
                [&](const auto &it) { return it.second.Deadline <= now; });
}

} // namespace Peers
