#ifndef ADMISSION_STREAMMETER_H
#define ADMISSION_STREAMMETER_H

#include "admission/usage.h"

#include <string>
#include <vector>

namespace Admission {

/// One event of a stream, as it goes to the caller.
struct StreamEvent {
  std::string Bytes;
  /// Tokens that the event brings, counting what an engine's usage adds.
  uint64_t Tokens = 0;
};

/// Cuts a stream of server-sent events into whole events and counts the tokens
/// of each: one for each choice that brings text, corrected by usage.
class StreamMeter {
public:
  /// Takes bytes and returns the events that are now whole.
  std::vector<StreamEvent> feed(std::string_view bytes);
  /// Returns what is left at the end of the stream, if anything is.
  std::vector<StreamEvent> flush();

  /// Prompt tokens by the engine's usage; nothing until it has come.
  std::optional<uint64_t> promptTokens() const { return Prompt; }
  uint64_t generatedTokens() const { return Generated; }

private:
  StreamEvent measure(std::string bytes);

  std::string Buffer;
  uint64_t Generated = 0;
  std::optional<uint64_t> Prompt;
};

} // namespace Admission

#endif // ADMISSION_STREAMMETER_H
