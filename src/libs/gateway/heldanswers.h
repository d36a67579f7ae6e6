#ifndef GATEWAY_HELDANSWERS_H
#define GATEWAY_HELDANSWERS_H

#include <cstddef>
#include <functional>
#include <map>

namespace Gateway {

struct Attempt;

/// Sizes of the answers that the process buffers until they, or an event of
/// them, are complete. Aborts the largest while all together exceed
/// MaxHeldAnswerBytes, as sound answers are small.
class HeldAnswers {
public:
  /// Adds an attempt without bytes. `abort` ends it; it is called at most once.
  void add(const Attempt *attempt, std::function<void()> abort);
  /// Sets the number of bytes that are buffered of an attempt's answer. May
  /// abort attempts, this one included.
  void resize(const Attempt *attempt, size_t bytes);
  void remove(const Attempt *attempt);

private:
  struct Answer {
    size_t Bytes = 0;
    std::function<void()> Abort;
  };
  void abortLargest();

  std::map<const Attempt *, Answer> Answers;
  size_t TotalBytes = 0;
};

} // namespace Gateway

#endif // GATEWAY_HELDANSWERS_H
