#include "Fleet/CauseHistory.h"

#include "Common/EpochTime.h"
#include "State/BurnReportCodec.h"
#include "State/CauseCodec.h"

#include <algorithm>
#include <utility>

namespace auburnroute::fleet {

using state::CauseEntry;

namespace {

/// Upper bound of the encoded size of an entry's numeric fields.
constexpr std::size_t NumberBytes = 60;

std::size_t bytesOf(const CauseEntry &entry) {
  return NumberBytes + entry.Key.Origin.size() + entry.Key.Service.size() +
         entry.Key.Subject.size();
}

} // namespace

CauseHistory::CauseHistory(std::string host, std::string address,
                           const common::Clock &clock)
    : Host(std::move(host)), Address(std::move(address)), Clock(clock),
      StartedWall(clock.wallTime()), Started(clock.now()),
      Causes(
          Host,
          static_cast<std::uint64_t>(common::toEpochMilliseconds(StartedWall)),
          MaxEntries) {}

common::WallTime CauseHistory::wallTime() const {
  return StartedWall + std::chrono::duration_cast<common::WallTime::duration>(
                           Clock.now() - Started);
}

void CauseHistory::record(state::Cause why, const std::string &service,
                          std::uint64_t version, const std::string &subject) {
  Causes.record(wallTime(), why, service, version, subject);
}

void CauseHistory::count(const std::string &service,
                         const state::FlowOutcomeCounts &counts) {
  Burn.add(wallTime(), service, counts);
}

std::vector<CauseEntry> CauseHistory::takeBatch() {
  auto batch = std::exchange(Postponed, {});
  std::size_t bytes = 0;
  for (const auto &it : batch)
    bytes += bytesOf(it);
  while (bytes < MaxBatchBytes) {
    auto next = Causes.takeChanged(1);
    if (next.empty())
      break;
    bytes += bytesOf(next.front());
    (bytes <= MaxBatchBytes ? batch : Postponed)
        .push_back(std::move(next.front()));
  }
  return batch;
}

void CauseHistory::merge(const std::vector<CauseEntry> &entries) {
  const auto now = wallTime();
  for (const auto &it : entries)
    Causes.merge(now, it);
}

std::vector<CauseEntry> CauseHistory::newestEntries() const {
  auto entries = Causes.since(wallTime() - state::CauseStore::Retention);
  std::ranges::sort(entries, std::ranges::greater(), &CauseEntry::Last);
  if (entries.size() > MaxNewestEntries)
    entries.resize(MaxNewestEntries);
  return entries;
}

void CauseHistory::expire() { Causes.expire(wallTime()); }

std::string CauseHistory::causes(std::chrono::seconds since) const {
  // Longer ranges could overflow the time.
  const auto range =
      std::min<std::chrono::seconds>(since, state::CauseStore::Retention);
  return state::encodeCauses(Host, Causes.since(wallTime() - range));
}

std::string CauseHistory::burn() const {
  state::HostBurnReport burn;
  burn.Host = Host;
  burn.Uptime =
      std::chrono::duration_cast<std::chrono::minutes>(Clock.now() - Started);
  for (const auto &it : Burn.services())
    burn.Services[it] = state::makeBurnReport(Burn, wallTime(), it);
  return state::encodeBurnReport(burn);
}

} // namespace auburnroute::fleet
