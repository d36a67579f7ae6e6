#ifndef PEERS_PEERSCONSTANTS_H
#define PEERS_PEERSCONSTANTS_H

#include "utils/clock.h"

#include <cstddef>
#include <cstdint>

namespace Peers::Constants {

inline constexpr size_t MaxFrameBytes = size_t{32} << 20;
inline constexpr size_t MaxPayloadBytes = MaxFrameBytes - 4096;
inline constexpr size_t MaxIdentityFrameBytes = 1024;
inline constexpr size_t MaxQueuedBytes = size_t{64} << 20;
inline constexpr size_t MaxInboundChannels = 1024;
inline constexpr size_t MaxNameBytes = 256;
inline constexpr size_t WorkerCount = 8;
inline constexpr size_t WorkerRingCapacity = 1024;
inline constexpr size_t MaxPendingCalls = 4096;
inline constexpr Utils::Milliseconds HandshakeTimeout(2000);
inline constexpr Utils::Milliseconds AcceptRetry(50);
inline constexpr size_t MaxDatagramBytes = 1200;
inline constexpr int64_t MaxWallSkewMs = 30'000;
inline constexpr size_t IndirectProbes = 3;
inline constexpr size_t FillerUpdates = 2;
inline constexpr size_t MaxKnownMembers = 4096;
inline constexpr size_t MaxPendingProbes = 1024;
inline constexpr size_t FarewellTargets = 8;
inline constexpr uint32_t MaxLocalHealth = 8;
inline constexpr uint32_t SuspicionFactor = 4;
inline constexpr uint32_t RetransmitFactor = 4;
inline constexpr uint32_t StrangerEvery = 5;
inline constexpr Utils::Milliseconds ProbeTimeout(300);
inline constexpr Utils::Milliseconds ExchangePeriod(30'000);
inline constexpr Utils::Milliseconds TombstoneTime(60'000);
inline constexpr Utils::Milliseconds OutageAgeUnit(50);
inline constexpr size_t MaxOutageAges = 700;
inline constexpr uint8_t OutageAgeUnknown = 255;
inline constexpr Utils::Milliseconds TickPeriod(50);
inline constexpr Utils::Milliseconds LongestTick(1000);
inline constexpr Utils::Milliseconds RosterPeriod(1000);
inline constexpr char FrameMetric[] = "hickory_peer_frames_dropped_total";
inline constexpr char DatagramMetric[] = "hickory_peer_datagrams_dropped_total";
inline constexpr char ExchangeMethod[] = "members.exchange";
inline constexpr char SentMetric[] = "hickory_peer_datagrams_total";
inline constexpr char BytesMetric[] = "hickory_peer_bytes_total";

} // namespace Peers::Constants

#endif // PEERS_PEERSCONSTANTS_H
