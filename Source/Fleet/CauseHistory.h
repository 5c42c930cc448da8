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

/// Causes of failures and changes within the last hour, recorded by this host
/// or copied from others, and the counts of good and failed requests of this
/// host for the burn rate.
///
/// Hosts have no persistent storage: a cause survives its host only as copies
/// on other hosts. Burn counts are lost with the host.
class CauseHistory {
public:
  /// Maximum number of entries, about 300 kB, since memory is scarce on edge
  /// hosts. A day with many faults leaves about 100 entries per host.
  static constexpr std::size_t MaxEntries = 1536;
  /// Maximum number of entries that a newly started host is sent.
  static constexpr std::size_t MaxNewestEntries = 512;
  /// Maximum size of a batch in bytes; it is sent in one datagram together with
  /// the sender's PeerInfo.
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
  void recordForHost(state::Cause why) { record(why, {}, 0, Address); }
  /// Adds to the burn counts of \p service.
  void count(const std::string &service,
             const state::FlowOutcomeCounts &counts);

  /// Whether takeBatch() would return any entries.
  bool hasPendingEntries() const {
    return Causes.hasChanges() || !Postponed.empty();
  }
  /// Entries of this host that changed since the last call, as many as fit a
  /// batch.
  std::vector<state::CauseEntry> takeBatch();
  /// Stores copies of another host's entries.
  void merge(const std::vector<state::CauseEntry> &entries);
  /// Up to MaxNewestEntries entries, newest first, for a host that has just
  /// started.
  std::vector<state::CauseEntry> newestEntries() const;
  /// Removes causes older than CauseStore::Retention.
  void expire();

  /// The answers to GET /cause and GET /burn, as JSON.
  std::string causes(std::chrono::seconds since) const;
  std::string burn() const;

private:
  /// Wall time at the start plus the elapsed monotonic time, so that a step of
  /// the wall clock does not expire or postdate causes.
  common::WallTime wallTime() const;

  std::string Host;
  std::string Address;
  const common::Clock &Clock;
  common::WallTime StartedWall;
  common::TimePoint Started;
  state::CauseStore Causes;
  state::FlowOutcomeHistory Burn;
  /// Did not fit into the last batch.
  std::vector<state::CauseEntry> Postponed;
};

} // namespace auburnroute::fleet
