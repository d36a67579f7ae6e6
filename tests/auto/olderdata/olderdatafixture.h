#ifndef TESTS_OLDERDATAFIXTURE_H
#define TESTS_OLDERDATAFIXTURE_H

#include "storeerafixture.h"

/// Gateways that know version 2 of the configuration, of which the copy of the
/// store has version 1 only.
struct OlderDataFixture : StoreEraFixture {
  static constexpr const char *Operators = "keyed.op";
  static constexpr const char *Servers = "keyed.servers";
  static constexpr const char *Duty = "keyed.duty";
  /// A version 3 whose routes cannot be read.
  static constexpr const char *Unreadable = R"({"version":3,"services":[]})";

  OlderDataFixture() {
    addEndpoint("i-1");
    writeConfiguration(1, {"/old/"});
  }
  EraGateway &startServing(const std::string &name, const std::string &prefix) {
    EraGateway &it = start(name);
    awaitStatus(it, prefix, 200);
    return it;
  }
  /// Starts the holder `a` of the duty, and another gateway `c`.
  void startTwo() {
    startServing("a", "/old/");
    awaitHolder("a");
    startServing("c", "/old/");
    awaitMetric(Gateways.at("a"), "hickory_gateway_members", 2);
  }
  void awaitHolder(const std::string &name) {
    awaitMetric(Gateways.at(name), "hickory_gateway_holds_duty", 1);
  }
  /// Brings version 2, which the copy lacks, into force everywhere.
  void copyThenConfigure() {
    Copy = Store.copy();
    writeConfiguration(2, {"/old/", "/new/"});
    for (auto &[name, it] : Gateways)
      awaitStatus(it, "/new/", 200);
  }
  void writeUnreadable() {
    Store.write(Operators, "config", Unreadable);
    for (auto &[name, it] : Gateways)
      awaitMetric(it, "hickory_gateway_configuration_behind", 1);
  }

  StoreStandIn::Topics Copy;
};

#endif // TESTS_OLDERDATAFIXTURE_H
