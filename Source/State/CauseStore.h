#pragma once

#include "Common/Clock.h"
#include "State/Cause.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace auburnroute::state {

/// Key of a cause entry; occurrences with equal keys are counted together.
struct CauseKey {
  std::string Origin;            ///< Host that recorded it.
  std::uint64_t Incarnation = 0; ///< Of that host, ms since the epoch.
  std::uint64_t Minute = 0;      ///< Minutes since the epoch.
  state::Cause Cause = state::Cause::None;
  std::string Service; ///< Empty if it concerns no single service.
  std::uint64_t Revision = 0;
  std::string Subject; ///< Backend server, host or zone concerned.

  auto operator<=>(const CauseKey &) const = default;
};

/// Number and time range of the occurrences of one key.
struct CauseEntry {
  CauseKey Key;
  std::uint64_t Count = 0;
  common::WallTime First;
  common::WallTime Last;

  bool operator==(const CauseEntry &) const = default;
};

/// Bounded store of cause entries of this host and copies of peers' entries.
///
/// Keeps entries for 60 minutes. Counts of a key only grow at its origin, so
/// merging keeps the larger count and is idempotent and commutative.
class CauseStore {
public:
  static constexpr std::chrono::minutes Retention{60};
  /// Entries at most; about 200 bytes each. The oldest minute is evicted first.
  static constexpr std::size_t MaxEntries = 8192;

  /// \p incarnation is the start of this process, ms since the epoch.
  CauseStore(std::string host, std::uint64_t incarnation,
             std::size_t maxEntries = MaxEntries);

  /// Adds \p n occurrences at this host at \p now.
  void record(common::WallTime now, Cause why, const std::string &service,
              std::uint64_t revision, const std::string &subject,
              std::uint64_t n = 1);
  /// Merges a copy from a peer. Entries past the retention, more than it in the
  /// future, or of another minute than that of their key are ignored.
  void merge(common::WallTime now, const CauseEntry &entry);
  /// Takes at most \p limit entries of this host that changed since they were
  /// last taken, in round-robin order of their keys.
  std::vector<CauseEntry> takeChanged(std::size_t limit);
  /// All entries whose last occurrence is not older than \p since.
  std::vector<CauseEntry> since(common::WallTime since) const;
  /// Drops entries past the retention.
  void expire(common::WallTime now);

  bool hasChanges() const { return !Changed.empty(); }
  std::size_t size() const { return Entries.size(); }
  /// Entries dropped because of the bound.
  std::uint64_t evicted() const { return Evicted; }

private:
  struct Value {
    std::uint64_t Count = 0;
    common::WallTime First;
    common::WallTime Last;
  };
  void evictExcess();

  std::string Host;
  std::uint64_t Incarnation;
  std::size_t EntryLimit;
  std::map<CauseKey, Value> Entries;
  std::set<std::pair<std::uint64_t, CauseKey>> ByMinute;
  std::set<CauseKey> Changed;
  CauseKey LastTaken; ///< takeChanged() continues after it.
  std::uint64_t Evicted = 0;
};

/// Minutes since the epoch.
std::uint64_t minuteOf(common::WallTime time);

} // namespace auburnroute::state
