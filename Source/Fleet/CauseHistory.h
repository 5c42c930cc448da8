#pragma once

#include "Common/Clock.h"
#include "State/CauseStore.h"
#include "State/FlowOutcomeHistory.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace auburnroute::fleet {

/// What went wrong within the last hour and why, of this host and copies from
/// others, and how many requests ended well or badly here.
///
/// Hosts have no disk: a cause outlives its host only through the copies that
/// other hosts hold. Burn counts end with the host.
class CauseHistory {
public:
  /// Entries at most, some 300 kB: memory is scarce on edge hosts. A day with
  /// many faults leaves about 100 entries a host.
  static constexpr std::size_t MaxEntries = 1536;
  /// Entries that a host hands to one that starts, newest first.
  static constexpr std::size_t MaxHandedOver = 512;
  /// Bytes of a batch, which travels in one datagram with its sender.
  static constexpr std::size_t MaxBatchBytes = 1200;

  /// \p host: name of this host; \p address: its address, by which other hosts
  /// know it. \p clock must outlive the object.
  CauseHistory(std::string host, std::string address,
               const common::Clock &clock);

  /// Adds one occurrence. \p service and \p subject (backend server or host)
  /// may be empty.
  void record(state::Cause why, const std::string &service,
              std::uint64_t version, const std::string &subject);
  /// Adds one occurrence that concerns this host as a whole.
  void recordOwn(state::Cause why) { record(why, {}, 0, Address); }
  /// Adds to the burn counts of \p service.
  void count(const std::string &service,
             const state::FlowOutcomeCounts &counts);

  /// Whether there is something that takeBatch() would return.
  bool hasNews() const { return Causes.hasChanges() || !Postponed.empty(); }
  /// Entries of this host that changed since they were last taken.
  std::vector<state::CauseEntry> takeBatch();
  /// Takes over copies of another host's entries.
  void merge(const std::vector<state::CauseEntry> &entries);
  /// The newest entries, for a host that has just started.
  std::vector<state::CauseEntry> handOver() const;
  void expire();

  /// The answers to GET /cause and GET /burn, as JSON.
  std::string causes(std::chrono::seconds since) const;
  std::string burn() const;

private:
  /// Wall time as of the start, carried on by the monotonic clock: a step of
  /// the wall clock must not expire the hour's causes.
  common::WallTime wallTime() const;

  std::string Host;
  std::string Address;
  const common::Clock &Clock;
  common::WallTime StartedWall;
  common::TimePoint Started;
  state::CauseStore Causes;
  state::FlowOutcomeHistory Burn;
  std::vector<state::CauseEntry> Postponed; ///< Did not fit the last batch.
};

} // namespace auburnroute::fleet
