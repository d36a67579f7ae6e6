#ifndef UTILS_DIGEST_H
#define UTILS_DIGEST_H

#include <cstdint>
#include <string>
#include <string_view>

namespace Utils {

/// Random identifier of 128 bits, as 32 hexadecimal digits.
std::string randomId();

/// Keyed-free BLAKE2b-256 of the text, as 64 hexadecimal digits.
std::string strongHash(std::string_view text);

/// XXH3 of the text; for checksums and placement, not for secrets.
uint64_t fastHash(std::string_view text, uint64_t seed = 0);

/// Compares two strings in time that depends on their length only.
bool equalInConstantTime(std::string_view left, std::string_view right);

std::string toBase64(std::string_view bytes);

/// Decodes standard base64; returns false when the text is malformed.
bool fromBase64(std::string_view text, std::string &bytes);

} // namespace Utils

#endif // UTILS_DIGEST_H
