#ifndef REVIEW_STANDINS_STORE_H
#define REVIEW_STANDINS_STORE_H

#include "net.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace Review {

/// Stand-in of the platform's store: keyed topics of one partition each, in
/// memory.
class Store {
public:
  explicit Store(const std::string &ip);

  const std::string &address() const { return Server.address(); }
  /// Appends a record as the operator or a server would; without a value the
  /// key is dropped. Returns the time of the acknowledgement.
  Clock::time_point put(const std::string &topic, const std::string &key,
                        const std::optional<std::string> &value);
  /// Newest value of the key, if it has one.
  std::optional<std::string> newest(const std::string &topic,
                                    const std::string &key);
  void stop() { Server.stop(); }

private:
  struct Record {
    std::string Key;
    std::optional<std::string> Value;
  };

  void serve(Stream &stream);
  std::string answer(const Message &request);
  std::string append(const Message &request);
  std::string readFrom(const Message &request);
  std::string readNewest(const Message &request);

  std::mutex Mutex;
  std::condition_variable Appended;
  std::map<std::string, std::vector<Record>> Topics;
  Listener Server;
};

} // namespace Review

#endif // REVIEW_STANDINS_STORE_H
