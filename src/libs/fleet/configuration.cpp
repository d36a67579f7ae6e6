#include "fleet/configuration.h"

#include <algorithm>

namespace Fleet {

std::string_view routeKindName(RouteKind kind) {
  static constexpr std::string_view names[] = {"safe", "unsafe", "streaming"};
  return names[static_cast<size_t>(kind)];
}

std::string_view entryKindName(EntryKind kind) {
  static constexpr std::string_view names[] = {"route", "service", "team",
                                               "limits"};
  return names[static_cast<size_t>(kind)];
}

void Engine::index() {
  IndexByName.clear();
  for (uint32_t i = 0; i < Models.size(); ++i)
    IndexByName[Models[i].Name] = i;
}

const Model *Engine::findModel(const std::string &name) const {
  auto it = IndexByName.find(name);
  return it == IndexByName.end() ? nullptr : &Models[it->second];
}

void Configuration::index() {
  RoutesByHost.clear();
  TeamByKey.clear();
  for (Service &it : Services)
    if (it.ModelEngine)
      it.ModelEngine->index();
  for (uint32_t i = 0; i < Routes.size(); ++i)
    RoutesByHost[Routes[i].Host].push_back(i);
  for (auto &[host, routes] : RoutesByHost)
    std::stable_sort(routes.begin(), routes.end(), [&](uint32_t a, uint32_t b) {
      return Routes[a].Prefix.size() > Routes[b].Prefix.size();
    });
  for (uint32_t i = 0; i < Teams.size(); ++i)
    for (const std::string &key : Teams[i].Keys)
      TeamByKey[key] = i;
}

const Route *Configuration::findRoute(std::string_view host,
                                      std::string_view path) const {
  auto it = RoutesByHost.find(std::string(host));
  if (it == RoutesByHost.end())
    return nullptr;
  for (uint32_t i : it->second)
    if (path.compare(0, Routes[i].Prefix.size(), Routes[i].Prefix) == 0)
      return &Routes[i];
  return nullptr;
}

const Team *Configuration::findTeamByKey(std::string_view key) const {
  auto it = TeamByKey.find(std::string(key));
  return it == TeamByKey.end() ? nullptr : &Teams[it->second];
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

bool Configuration::hasUnreadable(EntryKind kind) const {
  return std::any_of(
      Unreadable.begin(), Unreadable.end(),
      [&](const UnreadableEntry &it) { return it.Kind == kind; });
}

bool Configuration::mayBelongToUnreadable(std::string_view host,
                                          std::string_view path,
                                          const Route *match) const {
  auto mayTake = [&](const UnreadableEntry &it) {
    if (it.Kind != EntryKind::Route || (it.Host && *it.Host != host) ||
        (it.Prefix && path.compare(0, it.Prefix->size(), *it.Prefix) != 0))
      return false;
    if (!match)
      return true;
    return it.Host && it.Prefix && it.Prefix->size() > match->Prefix.size();
  };
  return std::any_of(Unreadable.begin(), Unreadable.end(), mayTake);
}

bool Configuration::isServiceUnreadable(std::string_view name) const {
  return hasUnreadable(EntryKind::Service) && !findService(name);
}

} // namespace Fleet
