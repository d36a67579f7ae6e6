#ifndef TESTS_STORESTANDIN_H
#define TESTS_STORESTANDIN_H

#include "httpio/httpio.h"
#include "platform/keyedlog.h"

#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

/// The platform's metadata store over HTTP on loopback: topics with offsets,
/// long polls, conditional appends, and a return from an older copy.
class StoreStandIn {
public:
  using Topic = std::vector<Platform::KeyedRecord>;
  using Topics = std::map<std::string, Topic>;

  /// Address of the store for one gateway, so that the store can reject it.
  struct Door {
    std::string Address;
    /// Topics whose calls are answered 503.
    std::set<std::string> Rejected;
    std::shared_ptr<HttpIo::ServerPolicy> Policy;
    std::unique_ptr<HttpIo::Listener> Listener;
  };

  explicit StoreStandIn(asio::io_context &loop) : Loop(loop) {}

  Door &openDoor();
  /// Appends a record; without a value the key is dropped.
  void write(const std::string &topic, const std::string &key,
             std::optional<std::string> value);
  uint64_t endOf(const std::string &topic) { return Data[topic].size(); }
  Topics copy() const { return Data; }
  /// The store comes back from this copy, in a new era.
  void comeBackFrom(Topics topics);
  /// Snapshot reads and log reads that the store has answered with 200.
  uint64_t readsOf(const std::string &topic) { return Reads[topic]; }

private:
  struct Poll {
    std::string Topic;
    uint64_t From = 0;
    std::weak_ptr<HttpIo::ServerConnection> Caller;
    std::unique_ptr<HttpIo::Timer> End;
  };
  using Query = std::map<std::string, std::string>;

  void handle(Door &door, const HttpIo::ServerConnectionRef &caller,
              const Http::Request &request);
  void respond(const HttpIo::ServerConnectionRef &caller, unsigned status,
               const std::string &body = "") const;
  void readNewest(const HttpIo::ServerConnectionRef &caller,
                  const std::string &topic);
  void readLog(const HttpIo::ServerConnectionRef &caller,
               const std::string &topic, const Query &query);
  void answerLogRead(const HttpIo::ServerConnectionRef &caller,
                     const std::string &topic, uint64_t from);
  void append(const HttpIo::ServerConnectionRef &caller,
              const std::string &topic, const Query &query,
              const std::string &body);
  void answerPolls(const std::string &topic);

  asio::io_context &Loop;
  Topics Data;
  uint64_t Era = 1;
  std::list<Door> Doors;
  std::list<Poll> Polls;
  std::map<std::string, uint64_t> Reads;
};

#endif // TESTS_STORESTANDIN_H
