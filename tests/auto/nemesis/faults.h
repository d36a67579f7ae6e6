#ifndef NEMESIS_FAULTS_H
#define NEMESIS_FAULTS_H

#include "support/cluster.h"

#include <random>

namespace Nemesis {

/// One kind of fault with how it is brought about and ended.
struct Fault {
  const char *Name;
  void (*Begin)(Support::Cluster &, std::mt19937_64 &, int victim);
  void (*End)(Support::Cluster &, int victim);
  /// Whether calls under way at the victim may break without an answer.
  bool BreaksCalls;
  /// Whether the victim takes no connections for a while.
  bool RefusesCalls;
  /// Whether the victim answers nothing for a while.
  bool HoldsCalls = false;
};

/// All faults; a seed draws two of them.
const std::vector<Fault> &faults();

} // namespace Nemesis

#endif // NEMESIS_FAULTS_H
