#ifndef GOLDEN_TRANSCRIPT_H
#define GOLDEN_TRANSCRIPT_H

#include "support/cluster.h"

#include <map>
#include <string>
#include <vector>

/// Text record of a test session: requests and responses, the endpoints'
/// journals and the audit trail. Values that differ between runs, such as ids,
/// keys, log positions, retry delays and the chosen endpoint, are normalized.
class Transcript {
public:
  explicit Transcript(std::string name) : Name(std::move(name)) {}

  void addLine(const std::string &line) { Lines.push_back(line); }
  void addCall(const std::string &title, const Support::Reply &reply);
  /// Adds the calls, orders and cancellations that the endpoints have received,
  /// sorted.
  void addEndpointJournals(const Support::Cluster &cluster);
  /// Adds the audit entries whose subject begins with one of the prefixes, in
  /// log order.
  void addAuditEntries(const Support::Cluster &cluster, int daemon,
                       const std::vector<std::string> &prefixes);

  /// Compares with the golden file, or rewrites it if HICKORY_REWRITE_GOLDEN is
  /// set. Returns the first difference, or an empty string.
  std::string compare() const;

private:
  std::string normalized() const;

  std::string Name;
  std::vector<std::string> Lines;
};

#endif // GOLDEN_TRANSCRIPT_H
