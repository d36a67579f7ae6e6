#include "fleet/configuration.h"

#include <algorithm>

namespace Fleet {

std::string_view routeKindName(RouteKind kind) {
  static constexpr std::string_view names[] = {"safe", "unsafe", "streaming"};
  return names[static_cast<size_t>(kind)];
}

void Engine::index() {
  IndexOf.clear();
  for (uint32_t i = 0; i < Models.size(); ++i)
    IndexOf[Models[i].Name] = i;
}

const Model *Engine::findModel(const std::string &name) const {
  auto it = IndexOf.find(name);
  return it == IndexOf.end() ? nullptr : &Models[it->second];
}

void Configuration::index() {
  RoutesOfHost.clear();
  TeamOfKey.clear();
  for (Service &it : Services)
    if (it.ModelEngine)
      it.ModelEngine->index();
  for (uint32_t i = 0; i < Routes.size(); ++i)
    RoutesOfHost[Routes[i].Host].push_back(i);
  for (auto &[host, list] : RoutesOfHost)
    std::stable_sort(list.begin(), list.end(), [&](uint32_t a, uint32_t b) {
      return Routes[a].Prefix.size() > Routes[b].Prefix.size();
    });
  for (uint32_t i = 0; i < Teams.size(); ++i)
    for (const std::string &key : Teams[i].Keys)
      TeamOfKey[key] = i;
}

const Route *Configuration::findRoute(std::string_view host,
                                      std::string_view path) const {
  auto found = RoutesOfHost.find(std::string(host));
  if (found == RoutesOfHost.end())
    return nullptr;
  for (uint32_t i : found->second)
    if (path.compare(0, Routes[i].Prefix.size(), Routes[i].Prefix) == 0)
      return &Routes[i];
  return nullptr;
}

const Team *Configuration::findTeam(std::string_view key) const {
  auto found = TeamOfKey.find(std::string(key));
  return found == TeamOfKey.end() ? nullptr : &Teams[found->second];
}

const Team *Configuration::findTeamByName(std::string_view name) const {
  auto it = std::find_if(Teams.begin(), Teams.end(),
                         [&](const Team &t) { return t.Name == name; });
  return it == Teams.end() ? nullptr : &*it;
}

const Service *Configuration::findService(std::string_view name) const {
  auto it = std::find_if(Services.begin(), Services.end(),
                         [&](const Service &s) { return s.Name == name; });
  return it == Services.end() ? nullptr : &*it;
}

} // namespace Fleet
