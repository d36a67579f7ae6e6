#include "peers/seal.h"

namespace Peers::Internal {

namespace {

const uint8_t *bytesOf(std::string_view text) {
  return reinterpret_cast<const uint8_t *>(text.data());
}

uint8_t *bytesOf(std::string &text) {
  return reinterpret_cast<uint8_t *>(text.data());
}

} // namespace

Key deriveKey(std::string_view clusterSecret, std::string_view purpose) {
  Key secret;
  crypto_generichash(secret.data(), secret.size(), bytesOf(clusterSecret),
                     clusterSecret.size(), nullptr, 0);
  Key key;
  crypto_generichash(key.data(), key.size(), bytesOf(purpose), purpose.size(),
                     secret.data(), secret.size());
  return key;
}

Key deriveStreamKey(const Key &cluster, std::string_view direction,
                    const Challenge &client, const Challenge &server) {
  crypto_generichash_state state;
  Key key;
  crypto_generichash_init(&state, cluster.data(), cluster.size(), key.size());
  crypto_generichash_update(&state, client.data(), client.size());
  crypto_generichash_update(&state, server.data(), server.size());
  crypto_generichash_update(&state, bytesOf(direction), direction.size());
  crypto_generichash_final(&state, key.data(), key.size());
  return key;
}

Challenge randomChallenge() {
  Challenge challenge;
  randombytes_buf(challenge.data(), challenge.size());
  return challenge;
}

std::string sealDatagram(const Key &key, std::string_view plain) {
  constexpr size_t nonceBytes = crypto_aead_xchacha20poly1305_ietf_NPUBBYTES;
  std::string sealed(plain.size() + DatagramOverheadBytes, '\0');
  randombytes_buf(sealed.data(), nonceBytes);
  crypto_aead_xchacha20poly1305_ietf_encrypt(
      bytesOf(sealed) + nonceBytes, nullptr, bytesOf(plain), plain.size(),
      nullptr, 0, nullptr, bytesOf(sealed), key.data());
  return sealed;
}

std::optional<std::string> openDatagram(const Key &key,
                                        std::string_view sealed) {
  constexpr size_t nonceBytes = crypto_aead_xchacha20poly1305_ietf_NPUBBYTES;
  if (sealed.size() < DatagramOverheadBytes)
    return std::nullopt;
  std::string plain(sealed.size() - DatagramOverheadBytes, '\0');
  std::string_view body = sealed.substr(nonceBytes);
  if (crypto_aead_xchacha20poly1305_ietf_decrypt(
          bytesOf(plain), nullptr, nullptr, bytesOf(body), body.size(), nullptr,
          0, bytesOf(sealed), key.data()) != 0)
    return std::nullopt;
  return plain;
}

std::string StreamSealer::start(const Key &key) {
  std::string header(StreamHeaderBytes, '\0');
  crypto_secretstream_xchacha20poly1305_init_push(&State, bytesOf(header),
                                                  key.data());
  return header;
}

std::string StreamSealer::seal(std::string_view plain) {
  std::string sealed(plain.size() + StreamOverheadBytes, '\0');
  crypto_secretstream_xchacha20poly1305_push(&State, bytesOf(sealed), nullptr,
                                             bytesOf(plain), plain.size(),
                                             nullptr, 0, 0);
  return sealed;
}

bool StreamOpener::start(const Key &key, std::string_view header) {
  return crypto_secretstream_xchacha20poly1305_init_pull(
             &State, bytesOf(header), key.data()) == 0;
}

std::optional<std::string> StreamOpener::open(std::string_view sealed) {
  if (sealed.size() < StreamOverheadBytes)
    return std::nullopt;
  std::string plain(sealed.size() - StreamOverheadBytes, '\0');
  uint8_t tag = 0;
  if (crypto_secretstream_xchacha20poly1305_pull(
          &State, bytesOf(plain), nullptr, &tag, bytesOf(sealed), sealed.size(),
          nullptr, 0) != 0)
    return std::nullopt;
  return plain;
}

} // namespace Peers::Internal
