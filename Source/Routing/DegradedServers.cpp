#include "Routing/DegradedServers.h"

#include <algorithm>
#include <array>

namespace auburnroute::routing {

using common::TimePoint;
using std::chrono::milliseconds;

namespace {

/// Share of its usual new flows that a server gets, by level.
constexpr std::array<double, DegradedServers::MaxLevel + 1> ShareOfLevel{
    1, 0.5, 0.25, 0.125, 0.05};

} // namespace

int DegradedServers::levelOf(const Verdict &verdict, TimePoint now) {
  if (now < verdict.Until)
    return verdict.Level;
  const auto steps = 1 + (now - verdict.Until) / RampStep;
  return static_cast<int>(std::max<std::int64_t>(0, verdict.Level - steps));
}

int DegradedServers::levelOf(ServerId id, const Entry &entry,
                             TimePoint now) const {
  const auto &server = Directory.at(id);
  if (!server.IsOccupied || server.Registration.Identity != entry.Identity ||
      server.Registration.StartTimeMs != entry.StartTimeMs)
    return 0;
  int level = 0;
  for (const auto &it : entry.Verdicts)
    level = std::max(level, levelOf(it, now));
  return level;
}

int DegradedServers::levelOf(ServerId id, TimePoint now) const {
  const auto it = Entries.find(id);
  return it == Entries.end() ? 0 : levelOf(id, it->second, now);
}

std::size_t
DegradedServers::usableServers(NameTable::Id service,
                               std::optional<NameTable::Id> zone) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Directory.serversOf(service), [&](ServerId id) {
        const auto &server = Directory.at(id);
        return server.Registration.State == ServerState::Ready &&
               server.Zone == zone.value_or(server.Zone);
      }));
}

bool DegradedServers::hasRoom(const KnownServer &server, TimePoint now) const {
  std::size_t inService = 0;
  std::size_t inZone = 0;
  for (const auto &[id, entry] : Entries) {
    const auto &other = Directory.at(id);
    if (other.Service != server.Service || levelOf(id, entry, now) == 0)
      continue;
    ++inService;
    inZone += other.Zone == server.Zone;
  }
  return (inService + 1) * ServersPerVerdict <= usableServers(server.Service) &&
         (inZone + 1) * ServersPerVerdict <=
             usableServers(server.Service, server.Zone);
}

DegradedServers::Outcome DegradedServers::apply(ServerId id,
                                                std::uint32_t decider,
                                                int level, milliseconds hold,
                                                TimePoint now) {
  const auto &server = Directory.at(id);
  const bool isNew = levelOf(id, now) == 0;
  if (isNew && !hasRoom(server, now))
    return Outcome::TooMany;
  auto &entry = Entries[id];
  if (isNew) {
    entry = {};
    entry.Identity = server.Registration.Identity;
    entry.StartTimeMs = server.Registration.StartTimeMs;
    entry.Since = now;
    entry.Credit = std::uniform_real_distribution<double>()(Random);
  }
  std::erase_if(entry.Verdicts, [&](const auto &it) {
    return it.Decider == decider || levelOf(it, now) == 0;
  });
  if (entry.Verdicts.size() == MaxDeciders)
    entry.Verdicts.erase(std::ranges::min_element(
        entry.Verdicts, {}, [](const auto &it) { return it.Until; }));
  entry.Verdicts.push_back({decider, std::clamp(level, 1, MaxLevel),
                            now + std::clamp(hold, milliseconds(0), MaxHold)});
  return isNew ? Outcome::New : Outcome::Renewed;
}

bool DegradedServers::admits(ServerId id, TimePoint now) const {
  if (Entries.empty())
    return true;
  const auto it = Entries.find(id);
  return it == Entries.end() || it->second.Credit >= 1 ||
         levelOf(id, it->second, now) == 0;
}

void DegradedServers::onPlaced(NameTable::Id service, ServerId chosen,
                               TimePoint now) {
  if (Entries.empty())
    return;
  for (auto &[id, entry] : Entries) {
    if (Directory.at(id).Service != service)
      continue;
    if (id == chosen)
      entry.Credit = std::max(0.0, entry.Credit - 1);
    const auto level = static_cast<std::size_t>(levelOf(id, entry, now));
    // Most new flows stay within a zone.
    const auto usable =
        std::max<std::size_t>(1, usableServers(service, Directory.at(id).Zone));
    entry.Credit = std::min(
        1.0, entry.Credit + ShareOfLevel[level] / static_cast<double>(usable));
  }
}

std::vector<std::pair<ServerId, milliseconds>>
DegradedServers::takeEnded(TimePoint now) {
  std::vector<std::pair<ServerId, milliseconds>> ended;
  std::erase_if(Entries, [&](const auto &it) {
    if (levelOf(it.first, it.second, now) > 0)
      return false;
    ended.emplace_back(it.first, std::chrono::duration_cast<milliseconds>(
                                     now - it.second.Since));
    return true;
  });
  return ended;
}

std::size_t DegradedServers::count(TimePoint now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Entries, [&](const auto &it) {
        return levelOf(it.first, it.second, now) > 0;
      }));
}

} // namespace auburnroute::routing
