#include "State/CauseStore.h"

#include <algorithm>

namespace auburnroute::state {

std::uint64_t minuteOf(common::WallTime time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::minutes>(time.time_since_epoch())
          .count());
}

CauseStore::CauseStore(std::string host, std::uint64_t incarnation,
                       std::size_t maxEntries)
    : Host(std::move(host)), Incarnation(incarnation), EntryLimit(maxEntries) {}

void CauseStore::record(common::WallTime now, Cause why,
                        const std::string &service, std::uint64_t revision,
                        const std::string &subject, std::uint64_t n) {
  const CauseKey key{Host,    Incarnation, minuteOf(now), why,
                     service, revision,    subject};
  auto &value = Entries[key];
  if (value.Count == 0) {
    value.First = now;
    ByMinute.emplace(key.Minute, key);
  }
  value.Count += n;
  value.Last = std::max(value.Last, now);
  Changed.insert(key);
  evictExcess();
}

void CauseStore::merge(common::WallTime now, const CauseEntry &entry) {
  // Entries with a time in the future are kept: this host's clock may be
  // behind that of the peer.
  if (entry.Last < now - Retention || entry.Count == 0)
    return;
  // Entries with other times would not expire in time and displace others.
  if (entry.Last > now + Retention ||
      minuteOf(entry.First) != entry.Key.Minute ||
      minuteOf(entry.Last) != entry.Key.Minute)
    return;
  auto &value = Entries[entry.Key];
  if (value.Count == 0) {
    value.First = entry.First;
    ByMinute.emplace(entry.Key.Minute, entry.Key);
  }
  value.Count = std::max(value.Count, entry.Count);
  value.First = std::min(value.First, entry.First);
  value.Last = std::max(value.Last, entry.Last);
  evictExcess();
}

std::vector<CauseEntry> CauseStore::takeChanged(std::size_t limit) {
  std::vector<CauseEntry> batch;
  while (!Changed.empty() && batch.size() < limit) {
    // Round robin, so that keys that change all the time starve no others.
    auto next = Changed.upper_bound(LastTaken);
    if (next == Changed.end())
      next = Changed.begin();
    const auto key = *next;
    Changed.erase(next);
    LastTaken = key;
    const auto it = Entries.find(key);
    if (it != Entries.end())
      batch.push_back(
          {key, it->second.Count, it->second.First, it->second.Last});
  }
  return batch;
}

std::vector<CauseEntry> CauseStore::since(common::WallTime since) const {
  std::vector<CauseEntry> found;
  for (const auto &[key, value] : Entries)
    if (value.Last >= since)
      found.push_back({key, value.Count, value.First, value.Last});
  return found;
}

void CauseStore::expire(common::WallTime now) {
  const auto oldest = minuteOf(now - Retention);
  while (!ByMinute.empty() && ByMinute.begin()->first < oldest) {
    Entries.erase(ByMinute.begin()->second);
    ByMinute.erase(ByMinute.begin());
  }
}

void CauseStore::evictExcess() {
  while (Entries.size() > EntryLimit) {
    Entries.erase(ByMinute.begin()->second);
    ByMinute.erase(ByMinute.begin());
    ++Evicted;
  }
}

} // namespace auburnroute::state
