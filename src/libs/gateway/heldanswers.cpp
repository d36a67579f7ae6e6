#include "gateway/heldanswers.h"

#include "gateway/gatewayconstants.h"

#include <algorithm>
#include <utility>

namespace Gateway {

void HeldAnswers::add(const Attempt *attempt, std::function<void()> abort) {
  remove(attempt);
  Answers[attempt].Abort = std::move(abort);
}

void HeldAnswers::resize(const Attempt *attempt, size_t bytes) {
  auto it = Answers.find(attempt);
  if (it == Answers.end())
    return;
  TotalBytes += bytes - std::exchange(it->second.Bytes, bytes);
  while (TotalBytes > MaxHeldAnswerBytes)
    abortLargest();
}

void HeldAnswers::remove(const Attempt *attempt) {
  auto it = Answers.find(attempt);
  if (it == Answers.end())
    return;
  TotalBytes -= it->second.Bytes;
  Answers.erase(it);
}

void HeldAnswers::abortLargest() {
  auto largest = std::max_element(Answers.begin(), Answers.end(),
                                  [](const auto &a, const auto &b) {
                                    return a.second.Bytes < b.second.Bytes;
                                  });
  // Removed first, as the call may begin another attempt when this one ends.
  auto abort = std::move(largest->second.Abort);
  TotalBytes -= largest->second.Bytes;
  Answers.erase(largest);
  abort();
}

} // namespace Gateway
