#include "State/HostTable.h"

namespace auburnroute::state {

std::string_view toString(HostState state) {
  switch (state) {
  case HostState::Joining:
    return "joining";
  case HostState::Live:
    return "live";
  case HostState::Suspect:
    return "suspect";
  case HostState::Leaving:
    return "leaving";
  case HostState::Dead:
    return "dead";
  }
  return "unknown";
}

const Host *HostTable::find(std::string_view name) const {
  const auto it = Hosts.find(name);
  return it == Hosts.end() ? nullptr : &it->second;
}

Host *HostTable::find(std::string_view name) {
  const auto it = Hosts.find(name);
  return it == Hosts.end() ? nullptr : &it->second;
}

Host *HostTable::add(std::string_view name) {
  if (auto *host = find(name))
    return host;
  if (Hosts.size() >= MaxHosts)
    return nullptr;
  auto &host = Hosts[std::string(name)];
  host.Name = name;
  return &host;
}

void HostTable::erase(std::string_view name) {
  const auto it = Hosts.find(name);
  if (it != Hosts.end())
    Hosts.erase(it);
}

} // namespace auburnroute::state
