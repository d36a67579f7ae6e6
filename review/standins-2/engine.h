#ifndef REVIEW_STANDINS2_ENGINE_H
#define REVIEW_STANDINS2_ENGINE_H

#include "lab.h"

#include <deque>

namespace Lab {

/// A model replica. It answers reports and orders, and streams its answers: the
/// head goes out when a request is admitted, the first event when the prompt
/// has been read. It has room for three models, and keeps copies of the last
/// two in memory and of the last 19 on disk; a restart leaves those on disk.
class Engine : public Endpoint {
public:
  Engine(asio::io_context &loop, Store &store, const std::string &id,
         Record &record);

  /// A request with this part of its prompt crashes the replica when it writes
  /// the first event; empty if none does.
  std::string DeadlyPart;
  /// Time from the head of an answer to its first event: 9,190 tokens of the
  /// sheet at 38.1 in a ms.
  milliseconds PrefillTime{240};
  milliseconds RestartTime{2500};
  std::function<void(const Engine &, const Message &)> OnArrival;
  std::function<void(const Engine &)> OnCrash;
  /// Models that can be used now.
  std::set<std::string> Models;
  /// Copies of weights, the least recently used first.
  std::deque<std::string> InMemory;
  std::deque<std::string> OnDisk;

protected:
  Task<bool> serve(const std::shared_ptr<Wire> &wire,
                   const Message &request) override;
  void addToEntry(Json &entry) override;

private:
  Json models() const;
  std::string order(const Message &request);
  Task<> load(std::string model, uint64_t incarnation);
  Task<> unload(std::string model, uint64_t incarnation);
  Json copies() const;
  Task<> restart();
  Task<bool> stream(const std::shared_ptr<Wire> &wire, const Message &request);

  Record &Log;
  int Starts = 1;
  uint64_t Orders = 0;
  int64_t HighestToken = 0;
  int Running = 0;
  std::map<std::string, int> RunsOf;
  /// Model of the order in progress; empty if there is none.
  std::string Ordered;
};

/// Service "writer" with the models, each resident at one replica or more.
Json engineService(const std::vector<std::string> &models);

} // namespace Lab

#endif // REVIEW_STANDINS2_ENGINE_H
