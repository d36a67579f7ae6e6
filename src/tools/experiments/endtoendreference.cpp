#include "experiments/endtoendreference.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <optional>
#include <set>
#include <tuple>

namespace Experiments {

namespace {

constexpr double StepS = 0.01;

struct Held {
  uint32_t Engine = 0;
  double LastUsedS = 0;
};

struct Loading {
  uint32_t Engine = 0;
  double EndsS = 0;
  bool FromStore = false;
};

/// Where a model would be loaded, the best place first.
struct Place {
  bool FromStore = false;
  bool Evicts = false;
  double VictimUsedS = 0;
  uint32_t Engine = 0;
  std::string Victim;
  auto operator<=>(const Place &) const = default;
};

class Witness {
public:
  Witness(const std::vector<ReferenceRequest> &requests,
          const ReferenceRates &rates)
      : Requests(requests), Rates(rates), Verdicts(requests.size()),
        Used(rates.Engines), Cached(rates.Engines), Order(requests.size()) {
    std::iota(Order.begin(), Order.end(), size_t{0});
    std::stable_sort(Order.begin(), Order.end(), [&](size_t a, size_t b) {
      return requests[a].AtS < requests[b].AtS;
    });
  }

  std::vector<Servable> run() {
    for (uint64_t i = 0; Next < Order.size() || !Waiting.empty(); ++i) {
      NowS = static_cast<double>(i) * StepS;
      arrive();
      endLoads();
      expire();
      beginLoads();
    }
    return std::move(Verdicts);
  }

private:
  void arrive() {
    for (; Next < Order.size() && Requests[Order[Next]].AtS <= NowS; ++Next) {
      const ReferenceRequest &request = Requests[Order[Next]];
      double firstS =
          FirstS.try_emplace(request.Model, request.AtS).first->second;
      bool possible = request.DeadlineS >= firstS + Rates.LoadS + Rates.CallS;
      Verdicts[Order[Next]] = possible ? Servable::Unknown : Servable::No;
      if (auto it = Ready.find(request.Model); it != Ready.end())
        serve(Order[Next], it->second);
      else
        Waiting[request.Model].insert({request.DeadlineS, Order[Next]});
    }
  }

  void serve(size_t request, Held &held) {
    held.LastUsedS = NowS + Rates.CallS;
    if (held.LastUsedS <= Requests[request].DeadlineS)
      Verdicts[request] = Servable::Yes;
  }

  void endLoads() {
    for (auto it = Loads.begin(); it != Loads.end();) {
      const auto &[model, load] = *it;
      if (load.EndsS > NowS) {
        ++it;
        continue;
      }
      Held &held = Ready[model];
      held = {load.Engine, NowS};
      Cached[load.Engine].insert(model);
      for (const auto &[deadlineS, request] : Waiting[model])
        serve(request, held);
      Waiting.erase(model);
      StoreLoads -= load.FromStore ? 1 : 0;
      it = Loads.erase(it);
    }
  }

  void expire() {
    for (auto &[model, requests] : Waiting)
      while (!requests.empty() && requests.begin()->first < NowS)
        requests.erase(requests.begin());
    std::erase_if(Waiting, [](const auto &it) { return it.second.empty(); });
  }

  void beginLoads() {
    std::vector<std::pair<double, std::string>> wanted;
    wanted.reserve(Waiting.size());
    for (const auto &[model, requests] : Waiting)
      if (!Loads.count(model))
        wanted.emplace_back(requests.begin()->first, model);
    std::sort(wanted.begin(), wanted.end());
    for (const auto &[deadlineS, model] : wanted)
      if (auto place = placeFor(model))
        begin(model, *place);
  }

  std::optional<Place> placeFor(const std::string &model) const {
    std::optional<Place> best;
    for (uint32_t i = 0; i < Rates.Engines; ++i) {
      Place place{!Cached[i].contains(model), false, 0, i, ""};
      if (place.FromStore && StoreLoads >= Rates.StoreLoadsAtOnce)
        continue;
      if (Used[i] == Rates.ModelsPerEngine && !addVictim(place))
        continue;
      if (!best || place < *best)
        best = std::move(place);
    }
    return best;
  }

  /// The model on the engine that runs nothing and was unused for longest.
  bool addVictim(Place &place) const {
    for (const auto &[model, held] : Ready) {
      if (held.Engine != place.Engine || held.LastUsedS > NowS)
        continue;
      if (place.Evicts && held.LastUsedS >= place.VictimUsedS)
        continue;
      place.Evicts = true;
      place.VictimUsedS = held.LastUsedS;
      place.Victim = model;
    }
    return place.Evicts;
  }

  void begin(const std::string &model, const Place &place) {
    if (place.Evicts)
      Ready.erase(place.Victim);
    else
      ++Used[place.Engine];
    StoreLoads += place.FromStore ? 1 : 0;
    double takesS = place.FromStore ? Rates.LoadS : Rates.ReloadS;
    Loads[model] = {place.Engine, NowS + takesS, place.FromStore};
  }

  const std::vector<ReferenceRequest> &Requests;
  const ReferenceRates &Rates;
  std::vector<Servable> Verdicts;
  std::vector<uint32_t> Used;
  std::vector<std::set<std::string>> Cached;
  /// Requests in order of arrival.
  std::vector<size_t> Order;
  size_t Next = 0;
  double NowS = 0;
  uint32_t StoreLoads = 0;
  std::map<std::string, double> FirstS;
  std::map<std::string, Held> Ready;
  std::map<std::string, Loading> Loads;
  /// Deadline and number of each request that waits, by model.
  std::map<std::string, std::set<std::pair<double, size_t>>> Waiting;
};

} // namespace

std::vector<Servable> servable(const std::vector<ReferenceRequest> &requests,
                               const ReferenceRates &rates) {
  return Witness(requests, rates).run();
}

} // namespace Experiments
