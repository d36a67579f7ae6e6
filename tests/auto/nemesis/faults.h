#ifndef NEMESIS_FAULTS_H
#define NEMESIS_FAULTS_H

#include "support/cluster.h"

#include <random>

namespace Nemesis {

/// One kind of fault, with functions that inject and end it.
struct Fault {
  const char *Name;
  void (*Begin)(Support::Cluster &, std::mt19937_64 &, int victim);
  void (*End)(Support::Cluster &, int victim);
  /// Whether in-flight calls at the victim may fail without a response.
  bool BreaksCalls;
  /// Whether the victim refuses connections for a while.
  bool RefusesCalls;
  /// Whether the victim sends no responses for a while.
  bool StallsCalls = false;
};

/// All kinds of faults; a seed selects two of them.
const std::vector<Fault> &faults();

} // namespace Nemesis

#endif // NEMESIS_FAULTS_H
