#ifndef GATEWAYPROCESSES_STORESTANDIN_H
#define GATEWAYPROCESSES_STORESTANDIN_H

#include "faultproxy/faultproxy.h"

#include <condition_variable>
#include <httplib.h>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace Support {

/// Stand-in of the platform's store: logs of one partition each, in memory. The
/// topics whose names begin with "keyed." are keyed. Every answer names the
/// era, which rises with each copy that is restored.
class StoreStandin {
public:
  /// How calls end while the store is absent.
  enum class Absence : uint8_t { None, Reset, Unanswered };
  /// State of all topics at one time.
  using Point = std::map<std::string, uint64_t>;

  StoreStandin();
  ~StoreStandin();
  StoreStandin(const StoreStandin &) = delete;
  StoreStandin &operator=(const StoreStandin &) = delete;

  /// IP:PORT at which anyone reaches the store.
  const std::string &address() const { return Address; }
  /// Opens an address of the store for one gateway, and returns it as IP:PORT.
  std::string openDoor(const std::string &gateway);
  /// Rejects all calls of the gateway, or no longer.
  void reject(const std::string &gateway, bool rejected);

  /// Appends a record as the operator or an endpoint would; without a value the
  /// key is dropped. Returns its offset.
  uint64_t put(const std::string &topic, const std::string &key,
               const std::optional<std::string> &value);
  /// Appends several records, which one read returns together.
  void putAll(const std::string &topic,
              const std::vector<std::pair<std::string, std::string>> &records);
  /// Deletes the records before the offset; the newest of each key stays.
  void trim(const std::string &topic, uint64_t before);

  /// The present state, to which restoreCopy() can go back.
  Point point();
  /// Drops all records after that point, and raises the era. With an absence,
  /// calls end that way from now on until comeBack() is called.
  void restoreCopy(const Point &point, Absence absence = Absence::None);
  /// Makes the store absent without a change of its records.
  void leave(Absence absence);
  /// Ends an absence.
  void comeBack();

  uint64_t era();
  /// Answers have bodies in chunks from now on, rather than with a length.
  void answerInChunks();
  /// Calls received with this path, such as "/v1/log-read".
  size_t calls(const std::string &path);

private:
  struct Record {
    std::string Key;
    std::optional<std::string> Value;
  };
  struct Log {
    std::vector<Record> Records;
    uint64_t First = 0;
  };

  void append(const httplib::Request &request, httplib::Response &response);
  void read(const httplib::Request &request, httplib::Response &response);
  void readNewest(const httplib::Request &request, httplib::Response &response);
  void answer(httplib::Response &response, int status, const std::string &body,
              const char *type = "application/json");

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, Log> Logs;
  std::map<std::string, size_t> Calls;
  uint64_t Era = 1;
  bool Chunked = false;
  bool Stopped = false;
  httplib::Server Server;
  std::thread Listening;
  FaultProxy::Proxy Link{1};
  uint16_t ServerPort = 0;
  std::string Address;
  /// Names of the links, one for each gateway.
  std::vector<std::string> Doors;
};

} // namespace Support

#endif // GATEWAYPROCESSES_STORESTANDIN_H
