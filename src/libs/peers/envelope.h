#ifndef PEERS_ENVELOPE_H
#define PEERS_ENVELOPE_H

#include "codec/codec.h"

#include <cstdint>
#include <string>

namespace Peers::Internal {

enum class EnvelopeKind : uint8_t { Identity, Request, Reply };

/// One message on a connection, inside a sealed frame.
struct Envelope {
  EnvelopeKind Kind = EnvelopeKind::Identity;
  /// Pairs a reply with its request; chosen by the caller.
  uint64_t Id = 0;
  /// Time left until the caller's deadline, milliseconds.
  uint32_t LeftMs = 0;
  /// Utils::Errc of a failed reply; 0 when it succeeded.
  int32_t Code = 0;
  std::string Method;
  /// Name of the sender, payload, or message of the failure.
  std::string Payload;

  template <class A> void serialize(A &a) {
    a(Kind, Id, LeftMs, Code, Method, Payload);
  }
};

} // namespace Peers::Internal

#endif // PEERS_ENVELOPE_H
