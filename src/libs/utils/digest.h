#ifndef UTILS_DIGEST_H
#define UTILS_DIGEST_H

#include <cstdint>
#include <string>
#include <string_view>

namespace Utils {

/// Random identifier of 128 bits, as 32 hexadecimal digits.
std::string randomId();

/// Unkeyed BLAKE2b-256 hash of the text, as 64 hexadecimal digits.
std::string strongHash(std::string_view text);

/// XXH3 hash of the text, for checksums and placement; not cryptographic.
uint64_t fastHash(std::string_view text, uint64_t seed = 0);

/// Compares two strings in time that depends only on their lengths.
bool equalInConstantTime(std::string_view left, std::string_view right);

/// The hash as 16 hexadecimal digits.
std::string toHex(uint64_t hash);

/// Encodes as standard base64.
std::string toBase64(std::string_view bytes);

/// Decodes standard base64; returns false when the text is malformed.
bool fromBase64(std::string_view text, std::string &bytes);

} // namespace Utils

#endif // UTILS_DIGEST_H
