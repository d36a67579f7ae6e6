#include "placement/plan.h"

namespace Placement {

namespace {
/// One in this many live engines may be silent at most.
constexpr size_t SilentShare = 2;
} // namespace

void noteNoReport(Knowledge &knowledge, const std::string &endpoint,
                  Utils::TimePoint now) {
  knowledge.NoReportSince.try_emplace(endpoint, now);
}

void forgetSilence(Knowledge &knowledge, const History::State &state) {
  std::erase_if(knowledge.NoReportSince, [&](const auto &it) {
    return !Internal::isLiveEngine(state, it.first);
  });
}

std::set<std::string> silentEngines(const History::State &state,
                                    const Knowledge &knowledge,
                                    const Policy &policy,
                                    Utils::TimePoint now) {
  std::set<std::string> silent;
  size_t live = 0;
  for (const auto &[name, endpoint] : state.Endpoints) {
    if (!Internal::isLiveEngine(state, name))
      continue;
    ++live;
    auto it = knowledge.NoReportSince.find(name);
    if (it != knowledge.NoReportSince.end() &&
        now - it->second >= policy.SilentAfter)
      silent.insert(name);
  }
  if (silent.size() * SilentShare > live)
    silent.clear();
  return silent;
}

} // namespace Placement
