#ifndef REVIEW_STANDINS_3_H
#define REVIEW_STANDINS_3_H

/// Stand-ins of the platform's store, of replicas and of clients, and the
/// processes of gateways, for the scripts of the third review. All of them use
/// loopback addresses and the real clock.
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Standins {

/// Milliseconds of the steady clock.
int64_t nowMs();
void sleepMs(int64_t ms);

/// Whether the script plays the disruption: TROUBLE is not 0.
bool hasTrouble();

/// Runs the script with a temporary folder, for 100 s at most, and returns its
/// exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not
/// run.
int runBounded(const std::function<int(const std::string &folder)> &script);

/// Writes lines with the time since the start into record.txt.
class Record {
public:
  explicit Record(const std::string &path);
  void line(const std::string &text);

private:
  std::mutex Mutex;
  std::ofstream Out;
  int64_t StartedAt;
};

/// Start line, header fields in order and body of a request or a response.
struct Message {
  std::string Start;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;

  /// Value of the first field of that name; empty without one.
  std::string field(const std::string &name) const;
  std::string method() const;
  /// Target without the query.
  std::string path() const;
  /// Value of a parameter of the query; empty without one.
  std::string parameter(const std::string &name) const;
};

/// Reads bytes of a connection into messages with a length.
class Reader {
public:
  explicit Reader(int fd) : Fd(fd) {}
  /// Reads up to the end of the head. Returns false if the connection ends.
  bool readHead(Message &out);
  /// Reads the body of a message whose head has been read, by its
  /// Content-Length.
  bool readBody(Message &out);
  /// Reads until at least so many bytes of the body have come.
  bool readPart(size_t bytes);

private:
  bool fill();
  int Fd;
  std::string Buffer;
};

/// Writes all bytes. Returns false if the connection fails.
bool writeAll(int fd, const std::string &bytes);

/// A response with a length.
std::string
response(const std::string &status,
         const std::vector<std::pair<std::string, std::string>> &fields,
         const std::string &body);

/// HTTP/1.1 server with a thread for each connection.
class Server {
public:
  /// Answers a request on the connection; returns whether to keep it. Reads
  /// the body of the request, of which the head has been read.
  using Handler = std::function<bool(int fd, Reader &reader, Message &request)>;
  Server(const std::string &ip, Handler handler);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;
  /// IP:PORT.
  const std::string &address() const { return Address; }
  /// SO_RCVBUF of connections from now on.
  void setReceiveBuffer(int bytes);

private:
  void accept();
  void serve(int fd);
  int ListenFd = -1;
  std::string Address;
  Handler Handle;
  std::atomic<bool> Stopped = false;
  std::mutex Mutex;
  std::vector<int> Open;
  std::vector<std::thread> Threads;
  std::thread Accepting;
};

/// The platform's store: logs of one partition each, in memory.
class Store {
public:
  explicit Store(const std::string &ip);
  ~Store();
  const std::string &address() const { return Http->address(); }
  /// Appends a record as the operator or a replica would; without a value the
  /// key is dropped.
  void put(const std::string &topic, const std::string &key,
           const std::optional<std::string> &value);

private:
  struct Entry {
    std::string Key;
    std::optional<std::string> Value;
  };
  bool handle(int fd, Reader &reader, Message &request);
  std::string append(const Message &request);
  std::string read(const Message &request);
  std::string readNewest(const Message &request);
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopped = false;
  std::map<std::string, std::vector<Entry>> Logs;
  std::unique_ptr<Server> Http;
};

/// A sound replica, which holds one model or none. It writes its entry every
/// 1.2 s.
class Replica {
public:
  /// Runs a request and returns the body of its answer.
  using Run = std::function<std::string(const Message &request)>;
  Replica(std::string id, std::string service, std::string zone,
          const std::string &ip, Store &store, Run run, std::string model = "");
  ~Replica();
  /// Answers POST requests in place of `run`.
  void setStream(Server::Handler stream) { Stream = std::move(stream); }
  void setReceiveBuffer(int bytes) { Http->setReceiveBuffer(bytes); }

private:
  bool handle(int fd, Reader &reader, Message &request);
  void writeEntry();
  nlohmann::json models() const;
  std::string Id;
  std::string Service;
  std::string Zone;
  Store &Directory;
  Run RunRequest;
  std::string Model;
  Server::Handler Stream;
  int64_t Born;
  int Sequence = 0;
  std::unique_ptr<Server> Http;
  std::mutex Mutex;
  std::condition_variable Ended;
  bool Stopped = false;
  std::thread Beating;
};

/// Memory limit of a machine, as in the settings.
inline constexpr int MemoryMb = 512;

/// A gateway process, started with the command of the deploy file. Its settings
/// are those of the largest machines of karamanlis-ops-grown.
class Gateway {
public:
  Gateway(const std::string &name, const std::string &ip,
          const std::string &zone, const std::string &store,
          const std::string &folder);
  ~Gateway();
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;
  const std::string &ip() const { return Ip; }
  uint16_t port() const { return Port; }
  int pid() const { return Pid; }
  void signal(int number) const;
  /// Memory that the process has in use; 0 if it has ended.
  int residentMb() const;
  /// Whether the process has ended.
  bool hasEnded();
  /// Waits until it reports to be ready.
  bool awaitReady(int64_t timeoutMs) const;

private:
  std::string Ip;
  uint16_t Port;
  uint16_t ReadyPort;
  int Pid = 0;
};

/// Ids of requests, added by several threads.
class Ids {
public:
  void add(const std::string &id) {
    std::lock_guard lock(Mutex);
    All.insert(id);
  }
  /// The ids that `others` lacks.
  std::set<std::string> without(const Ids &others) const {
    std::scoped_lock lock(Mutex, others.Mutex);
    std::set<std::string> out;
    for (const std::string &it : All)
      if (others.All.count(it) == 0)
        out.insert(it);
    return out;
  }
  size_t size() const {
    std::lock_guard lock(Mutex);
    return All.size();
  }

private:
  mutable std::mutex Mutex;
  std::set<std::string> All;
};

/// Loopback address of this run: `last` tells its processes apart.
std::string addressOf(int last);

struct ClientOptions {
  /// SO_RCVBUF of the socket; 0 leaves it as it is.
  int ReceiveBufferBytes = 0;
  /// TCP_MAXSEG of the socket; 0 leaves it as it is.
  int SegmentBytes = 0;
};

/// Connects to the address. Returns -1 if that fails.
int connectTo(const std::string &ip, uint16_t port,
              const ClientOptions &options = {});

/// What a client has got of an answer.
struct Answer {
  /// The whole answer has come.
  bool IsWhole = false;
  /// Bytes of the body that came, and those that the head names.
  size_t BodyBytes = 0;
  size_t ExpectedBytes = 0;
  std::string Status;
  /// What ended the connection before the whole answer.
  std::string End;
};

/// A request of a client.
std::string request(const std::string &method, const std::string &path,
                    const std::string &id, int deadlineMs,
                    const std::string &body = "");

/// Reads an answer with a length; calls `pause` with the number of bytes that
/// were read so far before each read.
Answer readAnswer(int fd, size_t chunkBytes,
                  const std::function<void(size_t)> &pause);

} // namespace Standins

#endif // REVIEW_STANDINS_3_H
