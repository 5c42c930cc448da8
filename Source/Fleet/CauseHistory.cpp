#include "Fleet/CauseHistory.h"

#include "Common/EpochTime.h"
#include "State/BurnCodec.h"
#include "State/CauseCodec.h"

#include <algorithm>
#include <utility>

namespace auburnroute::fleet {

using state::CauseEntry;

namespace {

/// Bytes of the numbers of an entry in a message, at most.
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
                         const state::BurnCounts &counts) {
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

std::vector<CauseEntry> CauseHistory::handOver() const {
  auto entries = Causes.since(wallTime() - state::CauseLedger::Retention);
  std::ranges::sort(entries, std::ranges::greater(), &CauseEntry::Last);
  if (entries.size() > MaxHandedOver)
    entries.resize(MaxHandedOver);
  return entries;
}

void CauseHistory::expire() { Causes.expire(wallTime()); }

std::string CauseHistory::causes(std::chrono::seconds since) const {
  return state::encodeCauses(Host, Causes.since(wallTime() - since));
}

std::string CauseHistory::burn() const {
  state::HostBurn burn;
  burn.Host = Host;
  burn.Uptime =
      std::chrono::duration_cast<std::chrono::minutes>(Clock.now() - Started);
  for (const auto &it : Burn.services())
    burn.Services[it] = state::burnOf(Burn, wallTime(), it);
  return state::encodeBurn(burn);
}

} // namespace auburnroute::fleet
