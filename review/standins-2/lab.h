#ifndef REVIEW_STANDINS2_LAB_H
#define REVIEW_STANDINS2_LAB_H

/// Stand-ins of the platform's store, of endpoints and of callers, and the
/// gateways as child processes, for the scripts of the second review. All
/// addresses are loopback addresses. Everything but the gateways runs on one
/// Asio loop; nothing is thread-safe.
#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Lab {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using Tcp = asio::ip::tcp;
using Json = nlohmann::json;
template <class T = void> using Task = asio::awaitable<T>;

/// Exit codes of a script.
enum ExitCode { Held = 0, Broken = 1, CouldNotRun = 2 };

Task<> pause(milliseconds time);
int64_t unixMs();

/// A request or a response, without hop-by-hop processing.
struct Message {
  std::string Line;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;

  /// Value of the first field of that name; empty if there is none.
  std::string header(const std::string &name) const;
  bool has(const std::string &name) const;
  std::string method() const;
  /// Target without the query.
  std::string path() const;
  /// Parameter of the query; empty if it is absent.
  std::string query(const std::string &name) const;
  /// Status of a response; 0 if it cannot be read.
  int status() const;
};

/// A TCP connection with a read buffer.
class Wire {
public:
  explicit Wire(Tcp::socket socket);

  /// Reads the start line and the fields; nothing at the end of the connection
  /// or after an error.
  Task<std::optional<Message>> readHead();
  /// Reads the body that the fields announce; without a length or chunks,
  /// there is none. Returns false if the connection ends before.
  Task<bool> readBody(Message &message);
  /// Reads some more of a chunked body into `out`. Returns false at its end,
  /// which `complete` tells from a connection that ended early.
  Task<bool> readChunk(std::string &out, bool &complete);
  Task<bool> write(std::string text);
  /// Ends the connection; with a reset if `abrupt`.
  void close(bool abrupt = false);

  Tcp::socket Socket;

private:
  Task<bool> fill();
  Task<bool> fillUntil(size_t bytes);
  Task<std::optional<std::string>> readLine();

  std::string In;
};

/// Response with a Content-Length; `fields` are complete lines.
std::string response(int status, const std::string &body,
                     const std::string &fields = "");

/// Writes the events of a script to a file, with the time since its creation.
class Record {
public:
  explicit Record(const std::string &file);
  void line(const std::string &text);

private:
  std::ofstream Out;
  Clock::time_point StartedAt = Clock::now();
};

/// The platform's store: keyed topics of one partition each, in memory. All
/// answers name the era, which rises when the store comes back from a copy.
class Store {
public:
  /// Ends of the topics at one time.
  using Copy = std::map<std::string, size_t>;

  explicit Store(asio::io_context &loop);
  std::string address() const;
  Copy copy() const;
  /// Resets all connections and refuses new ones.
  void leave();
  /// Comes back in a new era with what the topics held when the copy was made.
  void comeBack(const Copy &copy);
  /// Newest value of a key; empty if there is none.
  std::string value(const std::string &topic, const std::string &key) const;
  /// Appends a record; without a value the key is dropped.
  void put(const std::string &topic, const std::string &key,
           const std::optional<std::string> &value);

private:
  struct Entry {
    std::string Key;
    std::optional<std::string> Value;
  };
  Task<> accept();
  Task<> serve(std::shared_ptr<Wire> wire);
  Task<std::string> answer(const Message &request);
  std::string append(const Message &request);
  Task<std::string> read(const Message &request);
  std::string newest(const Message &request);
  void listen();

  asio::io_context &Loop;
  Tcp::endpoint Address;
  std::unique_ptr<Tcp::acceptor> Acceptor;
  std::set<std::shared_ptr<Wire>> Wires;
  uint64_t Era = 1;
  std::map<std::string, std::vector<Entry>> Topics;
};

/// Base of an endpoint: registers itself, beats, checks Expect-Instance and
/// the health path, and passes each other request to serve().
class Endpoint {
public:
  Endpoint(asio::io_context &loop, Store &store, std::string service,
           std::string id);
  virtual ~Endpoint() = default;
  Endpoint(const Endpoint &) = delete;
  Endpoint &operator=(const Endpoint &) = delete;

  const std::string &id() const { return Id; }
  /// Starts a new incarnation at the same address.
  void start(const std::string &id);
  /// Ends the process: resets all connections, and refuses new ones from
  /// `refuseAfter` later on. The entry in the store lapses after three
  /// intervals.
  void crash(milliseconds refuseAfter = milliseconds(0));
  bool isUp() const { return Up; }

protected:
  /// Answers a request; returns false to close the connection.
  virtual Task<bool> serve(const std::shared_ptr<Wire> &wire,
                           const Message &request) = 0;
  virtual void addToEntry(Json &) {}
  void writeEntry();

  asio::io_context &Loop;
  Store &Directory;
  std::string Service;
  std::string Id;
  int Slots = 16;
  /// Number of the incarnation; work of an earlier one must stop.
  uint64_t Incarnation = 0;

private:
  Task<> beat(uint64_t incarnation);
  Task<> lapse(std::string id, uint64_t incarnation);
  Task<> refuse(milliseconds after, uint64_t incarnation);
  Task<> accept(uint64_t incarnation);
  Task<> talk(std::shared_ptr<Wire> wire, uint64_t incarnation);

  Tcp::endpoint Address;
  std::unique_ptr<Tcp::acceptor> Acceptor;
  std::set<std::shared_ptr<Wire>> Wires;
  int64_t BornMs = 0;
  uint64_t Sequence = 0;
  bool Up = false;
};

/// A gateway as a child process, started by the command of the deploy file.
class Gateway {
public:
  /// `directory`: a temporary folder for its settings and its log.
  Gateway(int number, std::string directory, std::string storeAddress);
  ~Gateway();
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;

  void start(bool firstStart);
  void signal(int number) const;
  void kill();
  /// Whether the process has ended; reaps it.
  bool hasEnded();
  /// Signal that ended the process; 0 if it exited.
  int endSignal() const { return EndSignal; }
  Tcp::endpoint front() const;
  Tcp::endpoint ready() const;
  std::string name() const { return Name; }

private:
  Json settings(bool firstStart) const;

  std::string Name;
  std::string Ip;
  std::string Directory;
  std::string StoreAddress;
  pid_t Pid = 0;
  int EndSignal = 0;
};

/// How a request of a caller has ended.
struct Answer {
  /// 0 if the connection ended before a status.
  int Status = 0;
  Message Head;
  std::string Body;
  /// The whole body has arrived.
  bool Complete = false;
};

/// Sends a request on a new connection and reads the whole answer.
Task<Answer> call(Tcp::endpoint gateway, std::string request);
/// As call(), but keeps using the connection.
Task<Answer> callOn(Wire &wire, std::string request);
Task<std::unique_ptr<Wire>> connect(Tcp::endpoint peer);
/// Waits until the gateway says that it is ready; false after 15 s.
Task<bool> awaitReady(const Gateway &gateway);

std::string makeDirectory();
void removeDirectory(const std::string &path);

/// A route of the host desk.example at /NAME/.
Json route(const std::string &name, const std::string &kind,
           const std::string &service, int timeoutMs);
/// Configuration with one tenant, "club", whose key is "key-of-the-club".
Json configuration(int version, const std::vector<Json> &routes,
                   const std::vector<Json> &services);
Json service(const std::string &name);

/// Runs the script on the loop and returns its exit code: CouldNotRun if it
/// throws or takes longer than the limit.
int run(asio::io_context &loop, Task<int> script, Record &record,
        milliseconds limit);

} // namespace Lab

#endif // REVIEW_STANDINS2_LAB_H
