#ifndef HISTORY_STATECODEC_H
#define HISTORY_STATECODEC_H

#include "history/state.h"

namespace History {

/// Version of the encoding written by encodeState(). Raise it with every change
/// of the fields and go on reading the older ones.
inline constexpr uint32_t StateVersion = 2;

/// Encodes the whole state. Equal states have equal encodings.
std::string encodeState(const State &state);

/// Decodes a state written by encodeState(); Errc::Corrupt when malformed or
/// written by a newer version.
Utils::Outcome<State> decodeState(std::string_view bytes);

/// Whether two states hold the same.
bool sameState(const State &left, const State &right);

} // namespace History

#endif // HISTORY_STATECODEC_H
