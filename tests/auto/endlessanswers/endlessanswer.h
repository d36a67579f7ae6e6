#ifndef TESTS_ENDLESSANSWER_H
#define TESTS_ENDLESSANSWER_H

#include "twoendpointfixture.h"

#include <string>
#include <vector>

/// Bytes that a scripted endpoint may have sent beyond those that were read:
/// what the buffers of the two sockets take up.
constexpr size_t SocketSlackBytes = 256 << 10;
/// Size of one repetition, of a read buffer's size so that the endpoint and its
/// reader advance alike.
constexpr size_t RepetitionBytes = 4096;

/// Bytes that a response may have before its body, and between the parts of it.
constexpr size_t MaxHeadBytes = 64 << 10;
/// Bytes of one body that may be read: for the smallest chunks, 16 bytes around
/// each byte.
constexpr size_t MaxBodyBytes = 4 << 20;
constexpr size_t MaxSmallChunksBytes = 16 * MaxBodyBytes;

/// A response that has no end.
struct EndlessAnswer {
  std::string Place;
  std::string Begin;
  std::string Repeated;
  /// Bytes after which the exchange must have ended.
  size_t MaxBytes;
  Script script(std::chrono::milliseconds delay = {}) const {
    Script out{Begin, Script::Action::Repeat, Repeated};
    out.Delay = delay;
    return out;
  }
};

std::string repeated(const std::string &text);
/// An endless response for each place of a response. Its head, if it is whole,
/// names the call and carries the endpoint's signature.
std::vector<EndlessAnswer> endlessAnswers();

/// A gateway with one endpoint, "s", whose answers have no end, and another
/// one, "sound". Calls are sent once.
struct EndlessFixture : GatewayFixture {
  EndlessFixture();
  ScriptedEndpoint &endless() { return Endpoints.front(); }
  void answerWith(const Script &script);
  /// Whether a call of another client is served.
  bool servesOthers();
  /// Waits until the gateway has closed `connections` connections of the
  /// endless endpoint, or until that has sent more than `maxBytes`; then its
  /// connections are reset. Returns whether it stayed within the bytes.
  bool awaitClosed(int connections, size_t maxBytes = SIZE_MAX);
};

#endif // TESTS_ENDLESSANSWER_H
