#ifndef PEERS_SEAL_H
#define PEERS_SEAL_H

#include <array>
#include <cstdint>
#include <optional>
#include <sodium.h>
#include <string>
#include <string_view>

namespace Peers::Internal {

using Key = std::array<uint8_t, 32>;
using Challenge = std::array<uint8_t, 32>;

inline constexpr size_t StreamHeaderBytes =
    crypto_secretstream_xchacha20poly1305_HEADERBYTES;
inline constexpr size_t StreamOverheadBytes =
    crypto_secretstream_xchacha20poly1305_ABYTES;

/// Key of all daemons for one purpose: BLAKE2b of the cluster secret.
Key deriveKey(std::string_view clusterSecret, std::string_view purpose);

/// Key of one direction of one connection, from the challenges of both ends,
/// so that nothing recorded elsewhere passes for it.
Key deriveStreamKey(const Key &cluster, std::string_view direction,
                    const Challenge &client, const Challenge &server);

Challenge randomChallenge();

/// Encrypts one datagram with a random nonce in front.
std::string sealDatagram(const Key &key, std::string_view plain);

/// Undoes sealDatagram(); nothing when the datagram is forged or cut.
std::optional<std::string> openDatagram(const Key &key,
                                        std::string_view sealed);

inline constexpr size_t DatagramOverheadBytes =
    crypto_aead_xchacha20poly1305_ietf_NPUBBYTES +
    crypto_aead_xchacha20poly1305_ietf_ABYTES;

/// Encrypts the frames of one direction in sequence (libsodium secretstream).
class StreamSealer {
public:
  /// Starts the stream and returns its header.
  std::string start(const Key &key);
  std::string seal(std::string_view plain);

private:
  crypto_secretstream_xchacha20poly1305_state State{};
};

/// Decrypts frames in sequence; a forged, repeated, reordered or cut frame
/// yields nothing.
class StreamOpener {
public:
  bool start(const Key &key, std::string_view header);
  std::optional<std::string> open(std::string_view sealed);

private:
  crypto_secretstream_xchacha20poly1305_state State{};
};

} // namespace Peers::Internal

#endif // PEERS_SEAL_H
