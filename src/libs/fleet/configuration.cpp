#include "fleet/configuration.h"

#include <algorithm>

namespace Fleet {

namespace {

std::string toLower(std::string_view text) {
  std::string out(text);
  for (char &c : out)
    if (c >= 'A' && c <= 'Z')
      c = char(c - 'A' + 'a');
  return out;
}

/// HOST of HOST:PORT, or the text if it does not end with a port.
std::string_view withoutPort(std::string_view text) {
  size_t colon = text.rfind(':');
  bool hasPort =
      colon != std::string_view::npos &&
      text.find_first_not_of("0123456789", colon + 1) == std::string_view::npos;
  return hasPort ? text.substr(0, colon) : text;
}

bool isSameHost(std::string_view routeHost, std::string_view host) {
  std::string name = toLower(routeHost);
  std::string called = toLower(host);
  return name == called || name == withoutPort(called);
}

} // namespace

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
    RoutesByHost[toLower(Routes[i].Host)].push_back(i);
  for (auto &[host, routes] : RoutesByHost)
    std::stable_sort(routes.begin(), routes.end(), [&](uint32_t a, uint32_t b) {
      return Routes[a].Prefix.size() > Routes[b].Prefix.size();
    });
  for (uint32_t i = 0; i < Teams.size(); ++i)
    for (const std::string &key : Teams[i].Keys)
      TeamByKey[key] = i;
}

const std::vector<uint32_t> *
Configuration::findRoutesOf(std::string_view host) const {
  std::string name = toLower(host);
  auto it = RoutesByHost.find(name);
  if (it == RoutesByHost.end())
    it = RoutesByHost.find(std::string(withoutPort(name)));
  return it == RoutesByHost.end() ? nullptr : &it->second;
}

const Route *Configuration::findRoute(std::string_view host,
                                      std::string_view path) const {
  const std::vector<uint32_t> *routes = findRoutesOf(host);
  if (!routes)
    return nullptr;
  for (uint32_t i : *routes)
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
    if (it.Kind != EntryKind::Route ||
        (it.Host && !isSameHost(*it.Host, host)) ||
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
