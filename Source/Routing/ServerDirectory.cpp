#include "Routing/ServerDirectory.h"

#include "Common/Text.h"

#include <algorithm>

namespace auburnroute::routing {

using common::TimePoint;

DirectoryChange ServerDirectory::apply(const ServerRegistration &registration,
                                       TimePoint now) {
  if (registration.State == ServerState::Lapsed)
    return remove(registration, now);
  const auto it = ByName.find(registration.Name);
  if (it == ByName.end())
    return add(registration, now);
  auto &server = Servers[it->second];
  return replaces(registration, server.Registration)
             ? store(server, registration, now)
             : DirectoryChange::None;
}

DirectoryChange ServerDirectory::confirm(const ServerRegistration &registration,
                                         TimePoint now) {
  const auto it = ByName.find(registration.Name);
  return it == ByName.end() ? add(registration, now)
                            : store(Servers[it->second], registration, now);
}

bool ServerDirectory::replaces(const ServerRegistration &next,
                               const ServerRegistration &known) {
  if (next.Era == known.Era)
    return next.Revision > known.Revision;
  // An entry of an earlier era counts if the registry lost it. A removal in the
  // new era shows that the server did not write it again.
  if (next.Era < known.Era)
    return known.State != ServerState::Lapsed && isWrittenBefore(known, next);
  if (next.State == ServerState::Lapsed)
    return true;
  // The copy that the registry was restored from may hold an entry of a server
  // that has left since.
  if (known.State == ServerState::Lapsed)
    return isWrittenBefore(known, next);
  return !isWrittenBefore(next, known);
}

DirectoryChange ServerDirectory::add(const ServerRegistration &registration,
                                     TimePoint now) {
  const auto id = allocateId();
  auto &server = Servers[id];
  server.IsOccupied = true;
  server.FirstSeen = now;
  server.Registration.Name = registration.Name;
  NameBytes += routing::nameBytes(server.Registration);
  ByName.emplace(registration.Name, id);
  store(server, registration, now);
  return DirectoryChange::Added;
}

DirectoryChange ServerDirectory::store(KnownServer &server,
                                       const ServerRegistration &registration,
                                       TimePoint now) {
  const auto before = server.Registration;
  const auto id = idOf(server);
  removeFromIndexes(id);
  if (before.Address != registration.Address)
    releaseAddress(id);
  if (registration.StartTimeMs != before.StartTimeMs) {
    server.RunSeenAt = now;
    server.HasStatedWarmUp = false;
  }
  server.HasStatedWarmUp |= registration.WarmUpLeft.count() > 0;
  NameBytes += routing::nameBytes(registration) - routing::nameBytes(before);
  server.Registration = registration;
  server.Service = Services.idOf(registration.Service);
  server.Zone = Zones.idOf(registration.Zone);
  server.ColdUntil = now + registration.WarmUpLeft;
  addToIndexes(id);
  claimAddress(id);
  if (registration.State == ServerState::Draining &&
      before.State != registration.State)
    return DirectoryChange::Draining;
  if (registration.StartTimeMs != before.StartTimeMs)
    return DirectoryChange::Restarted;
  // WarmUpLeft is not compared: it decreases with each write, and hosts count
  // it down themselves.
  const bool same = before.State == registration.State &&
                    before.Address == registration.Address &&
                    before.Service == registration.Service &&
                    before.Zone == registration.Zone &&
                    before.Slots == registration.Slots;
  return same ? DirectoryChange::Refreshed : DirectoryChange::Updated;
}

DirectoryChange ServerDirectory::remove(const ServerRegistration &lapsed,
                                        TimePoint now) {
  const auto it = ByName.find(lapsed.Name);
  if (it == ByName.end()) {
    auto &server = addLapsed(lapsed, now);
    if (lapsed.hasAddress())
      fillAddress(server, lapsed);
    return DirectoryChange::Refreshed;
  }
  auto &server = Servers[it->second];
  auto &known = server.Registration;
  if (!replaces(lapsed, known))
    return DirectoryChange::None;
  // A removal that a peer passes on tells which entry was the last one. How a
  // later run ended is not known.
  const bool isLaterRun = lapsed.StartTimeMs > known.StartTimeMs;
  if (isWrittenBefore(known, lapsed)) {
    known.StartTimeMs = lapsed.StartTimeMs;
    known.Sequence = lapsed.Sequence;
  }
  known.Era = lapsed.Era;
  known.Revision = lapsed.Revision;
  if (known.State == ServerState::Lapsed) {
    known.HasLapsedUnannounced |= isLaterRun;
    if (!known.hasAddress() && lapsed.hasAddress())
      fillAddress(server, lapsed);
    return DirectoryChange::Refreshed;
  }
  known.HasLapsedUnannounced = known.State == ServerState::Ready || isLaterRun;
  known.State = ServerState::Lapsed;
  server.LapsedAt = now;
  return DirectoryChange::Lapsed;
}

KnownServer &ServerDirectory::addLapsed(const ServerRegistration &registration,
                                        TimePoint now) {
  const auto id = allocateId();
  auto &server = Servers[id];
  server.IsOccupied = true;
  server.FirstSeen = now;
  server.LapsedAt = now - registration.LapsedFor;
  server.Registration.Name = registration.Name;
  server.Registration.State = ServerState::Lapsed;
  server.Registration.StartTimeMs = registration.StartTimeMs;
  server.Registration.Sequence = registration.Sequence;
  server.Registration.Era = registration.Era;
  server.Registration.Revision = registration.Revision;
  NameBytes += routing::nameBytes(server.Registration);
  ByName.emplace(registration.Name, id);
  return server;
}

void ServerDirectory::fillAddress(KnownServer &server,
                                  const ServerRegistration &registration) {
  const auto id = idOf(server);
  auto &known = server.Registration;
  NameBytes -= routing::nameBytes(known);
  known.Identity = registration.Identity;
  known.Service = registration.Service;
  known.Address = registration.Address;
  known.Zone = registration.Zone;
  NameBytes += routing::nameBytes(known);
  known.Slots = registration.Slots;
  known.HasLapsedUnannounced = registration.HasLapsedUnannounced;
  server.Service = Services.idOf(known.Service);
  server.Zone = Zones.idOf(known.Zone);
  addToIndexes(id);
  const auto [it, added] = ByAddress.try_emplace(known.Address.key(), id);
  if (added)
    return;
  // Of two lapsed servers with one address it is not known which came later.
  const auto &other = Servers[it->second].Registration;
  server.IsAddressReused = other.State != ServerState::Lapsed &&
                           other.StartTimeMs >= known.StartTimeMs;
}

void ServerDirectory::rememberLapsed(const ServerRegistration &registration,
                                     TimePoint now) {
  if (!registration.hasAddress() || registration.LapsedFor >= Retention)
    return;
  const auto it = ByName.find(registration.Name);
  auto &server =
      it == ByName.end() ? addLapsed(registration, now) : Servers[it->second];
  if (!server.Registration.hasAddress())
    fillAddress(server, registration);
}

std::uint64_t ServerDirectory::discardExpired(TimePoint now,
                                              std::uint64_t era) {
  std::uint64_t highest = 0;
  for (ServerId id = 0; id < Servers.size(); ++id) {
    auto &server = Servers[id];
    if (!server.IsOccupied ||
        server.Registration.State != ServerState::Lapsed ||
        now - server.LapsedAt < Retention)
      continue;
    if (server.Registration.Era == era)
      highest = std::max(highest, server.Registration.Revision);
    removeFromIndexes(id);
    NameBytes -= routing::nameBytes(server.Registration);
    ByName.erase(server.Registration.Name);
    releaseAddress(id);
    server = KnownServer{};
    FreeIds.push_back(id);
  }
  return highest;
}

void ServerDirectory::claimAddress(ServerId id) {
  auto &server = Servers[id];
  const auto [it, added] =
      ByAddress.try_emplace(server.Registration.Address.key(), id);
  if (added || it->second == id)
    return;
  auto &other = Servers[it->second];
  // Entries may arrive in any order. Where one has lapsed, or their eras
  // differ, the server that started last has the address: a restored registry
  // may show the former one, and the other one may live though its entry has
  // expired.
  const auto &mine = server.Registration;
  const auto &theirs = other.Registration;
  const bool isLapsed = theirs.State == ServerState::Lapsed;
  const bool isNewer = (isLapsed || mine.Era != theirs.Era) &&
                               mine.StartTimeMs != theirs.StartTimeMs
                           ? mine.StartTimeMs > theirs.StartTimeMs
                           : isLapsed || mine.Revision > theirs.Revision;
  (isNewer ? other : server).IsAddressReused = true;
  (isNewer ? server : other).IsAddressReused = false;
  if (isNewer)
    it->second = id;
}

void ServerDirectory::releaseAddress(ServerId id) {
  const auto it = ByAddress.find(Servers[id].Registration.Address.key());
  if (it != ByAddress.end() && it->second == id)
    ByAddress.erase(it);
}

ServerId ServerDirectory::allocateId() {
  if (!FreeIds.empty()) {
    const auto id = FreeIds.back();
    FreeIds.pop_back();
    return id;
  }
  Servers.emplace_back();
  return static_cast<ServerId>(Servers.size() - 1);
}

void ServerDirectory::addToIndexes(ServerId id) {
  auto &server = Servers[id];
  const auto tags = ServerTag::of(server.Registration.Identity);
  server.Tag = tags.front();
  bool found = false;
  for (const auto tag : tags) {
    auto &owners = ByTag[tag];
    if (!found && owners.empty()) {
      server.Tag = tag;
      found = true;
    }
    owners.push_back(id);
  }
  if (ByService.size() <= server.Service)
    ByService.resize(server.Service + 1);
  ByService[server.Service].push_back(id);
}

void ServerDirectory::removeFromIndexes(ServerId id) {
  const auto &server = Servers[id];
  for (const auto tag : ServerTag::of(server.Registration.Identity)) {
    const auto it = ByTag.find(tag);
    if (it == ByTag.end())
      continue;
    std::erase(it->second, id);
    if (it->second.empty())
      ByTag.erase(it);
  }
  if (server.Service < ByService.size())
    std::erase(ByService[server.Service], id);
}

const KnownServer *ServerDirectory::findByTag(std::uint32_t tag,
                                              NameTable::Id service) const {
  const auto it = ByTag.find(tag);
  if (tag == ServerTag::None || it == ByTag.end())
    return nullptr;
  const auto rank = [&](ServerId id) {
    return std::pair(Servers[id].Service != service, Servers[id].FirstSeen);
  };
  const auto best = std::ranges::min_element(it->second, {}, rank);
  return &Servers[*best];
}

const std::vector<ServerId> &
ServerDirectory::serversWithTag(std::uint32_t tag) const {
  static const std::vector<ServerId> none;
  const auto it = ByTag.find(tag);
  return it == ByTag.end() ? none : it->second;
}

const KnownServer *
ServerDirectory::findByIdentity(std::uint64_t identity) const {
  const auto it = ByTag.find(ServerTag::of(identity).front());
  if (it == ByTag.end())
    return nullptr;
  for (const auto id : it->second)
    if (Servers[id].Registration.Identity == identity)
      return &Servers[id];
  return nullptr;
}

const KnownServer *ServerDirectory::findByName(std::string_view name) const {
  const auto it = ByName.find(common::toAbsl(name));
  return it == ByName.end() ? nullptr : &Servers[it->second];
}

const std::vector<ServerId> &
ServerDirectory::serversOf(NameTable::Id service) const {
  static const std::vector<ServerId> none;
  return service < ByService.size() ? ByService[service] : none;
}

std::size_t ServerDirectory::readyCount() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Servers, [](const KnownServer &it) {
        return it.IsOccupied && it.Registration.State == ServerState::Ready;
      }));
}

} // namespace auburnroute::routing
