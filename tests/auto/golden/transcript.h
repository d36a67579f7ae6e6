#ifndef GOLDEN_TRANSCRIPT_H
#define GOLDEN_TRANSCRIPT_H

#include "support/cluster.h"

#include <map>
#include <string>
#include <vector>

/// A whole session as text: requests and answers, what the endpoints saw, the
/// audit trail. Only ids, times, ports and free choices are normalised.
class Transcript {
public:
  explicit Transcript(std::string session) : Session(std::move(session)) {}

  void note(const std::string &line) { Lines.push_back(line); }
  void call(const std::string &what, const Support::Reply &reply);
  /// Calls and orders that the endpoints saw, sorted.
  void endpoints(const Support::Cluster &cluster);
  /// Audit entries whose subject begins with one of the words, in log order.
  void audit(const Support::Cluster &cluster, int daemon,
             const std::vector<std::string> &subjects);

  /// Compares with the golden file, or rewrites it when HICKORY_REWRITE_GOLDEN
  /// is set; returns the first difference, or an empty text.
  std::string compare() const;

private:
  std::string normalised() const;

  std::string Session;
  std::vector<std::string> Lines;
};

#endif // GOLDEN_TRANSCRIPT_H
