#include "utils/digest.h"

#include <array>
#include <sodium.h>
#include <xxhash.h>

namespace Utils {

namespace {

constexpr size_t IdBytes = 16;

std::string toHex(const unsigned char *data, size_t n) {
  std::string hex(n * 2 + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), data, n);
  hex.pop_back();
  return hex;
}

const unsigned char *bytesOf(std::string_view text) {
  return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

std::string randomId() {
  std::array<unsigned char, IdBytes> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  return toHex(bytes.data(), bytes.size());
}

std::string strongHash(std::string_view text) {
  std::array<unsigned char, crypto_generichash_BYTES> digest{};
  crypto_generichash(digest.data(), digest.size(), bytesOf(text), text.size(),
                     nullptr, 0);
  return toHex(digest.data(), digest.size());
}

uint64_t fastHash(std::string_view text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string toHex(uint64_t hash) {
  constexpr size_t digits = 16;
  constexpr unsigned bitsPerDigit = 4;
  constexpr unsigned lastDigit = 15;
  std::string out(digits, '0');
  for (size_t i = digits; i-- > 0; hash >>= bitsPerDigit)
    out[i] = "0123456789abcdef"[hash & lastDigit];
  return out;
}

bool equalInConstantTime(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string toBase64(std::string_view bytes) {
  constexpr int variant = sodium_base64_VARIANT_ORIGINAL;
  std::string text(sodium_base64_encoded_len(bytes.size(), variant), '\0');
  sodium_bin2base64(text.data(), text.size(), bytesOf(bytes), bytes.size(),
                    variant);
  text.pop_back();
  return text;
}

bool fromBase64(std::string_view text, std::string &bytes) {
  bytes.resize(text.size());
  size_t n = 0;
  int rc = sodium_base642bin(reinterpret_cast<unsigned char *>(bytes.data()),
                             bytes.size(), text.data(), text.size(), nullptr,
                             &n, nullptr, sodium_base64_VARIANT_ORIGINAL);
  bytes.resize(rc == 0 ? n : 0);
  return rc == 0;
}

} // namespace Utils
