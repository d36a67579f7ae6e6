#ifndef PEERS_TRANSPORT_H
#define PEERS_TRANSPORT_H

#include "metrics/metrics.h"
#include "peers/channel.h"
#include "peers/peersconstants.h"

namespace Peers::Internal {

/// What outgoing and incoming connections of one node share.
struct Transport {
  Transport(std::string name, std::string_view clusterSecret,
            Metrics::Registry &metrics)
      : Name(std::move(name)), TcpKey(deriveKey(clusterSecret, "peer tcp")),
        Metrics(metrics) {}

  /// Events that count what passes and what is dropped.
  ChannelEvents countingEvents() {
    ChannelEvents events;
    events.Ready = [](const ChannelPtr &) {};
    events.Received = [](const ChannelPtr &, const Envelope &) {};
    events.Closed = [](const ChannelPtr &) {};
    events.Dropped = [this](const char *why) {
      Metrics.add(Constants::FrameMetric,
                  std::string("reason=\"") + why + "\"");
    };
    events.Bytes = [this](const char *way, size_t n) {
      countBytes("tcp", way, n);
    };
    return events;
  }

  void countBytes(const char *transport, const char *way, size_t n) {
    Metrics.add(
        Constants::BytesMetric,
        std::string("transport=\"") + transport + "\",way=\"" + way + "\"", n);
  }

  std::string Name;
  Key TcpKey;
  Metrics::Registry &Metrics;
  asio::io_context Io{1};
};

} // namespace Peers::Internal

#endif // PEERS_TRANSPORT_H
