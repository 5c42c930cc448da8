#pragma once

#include "Common/Clock.h"
#include "Routing/ServerDirectory.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace auburnroute::routing {

/// Servers that the zone found to be outliers, and the share of its usual new
/// flows that each still gets. Open flows are not affected.
///
/// A verdict has a level. It stands for its hold time and is then lowered by
/// one level each RampStep, so that it ends by itself and a restored server
/// does not get all flows at once.
class DegradedServers {
public:
  /// Share of the usual flows at level MaxLevel and below it: a twentieth, an
  /// eighth, a quarter, half.
  static constexpr int MaxLevel = 4;
  static constexpr std::chrono::milliseconds RampStep{1500};
  /// Longest hold time of a verdict, whatever its message says.
  static constexpr std::chrono::milliseconds MaxHold{60000};
  /// At most one in this many usable servers of a service is avoided: if more
  /// appear faulty, the cause is elsewhere.
  static constexpr std::size_t ServersPerVerdict = 5;
  /// Hosts whose verdicts on a server are kept apart. The most severe counts.
  static constexpr std::size_t MaxDeciders = 4;

  /// \p directory must outlive the object. \p seed: of the random times of the
  /// first flows, which differ between hosts.
  DegradedServers(const ServerDirectory &directory, std::uint64_t seed)
      : Directory(directory), Random(seed) {}

  enum class Outcome : std::uint8_t {
    New, ///< The server was not degraded before.
    Renewed,
    TooMany, ///< Too many servers of the service are degraded already.
  };
  /// Host \p decider (IPv4 address) has found the run of \p id that the
  /// directory knows an outlier. Replaces its previous verdict.
  Outcome apply(ServerId id, std::uint32_t decider, int level,
                std::chrono::milliseconds hold, common::TimePoint now);
  /// 0 if it is not degraded.
  int levelOf(ServerId id, common::TimePoint now) const;
  /// Whether \p server may be degraded, too: at most one in ServersPerVerdict
  /// of its service, and of its service in its zone.
  bool hasRoom(const KnownServer &server, common::TimePoint now) const;
  /// Whether \p id may get the next new flow like the other servers.
  bool admits(ServerId id, common::TimePoint now) const;
  /// A new flow of \p service was placed on \p chosen. Each degraded server of
  /// the service comes closer to its next flow.
  void onPlaced(NameTable::Id service, ServerId chosen, common::TimePoint now);
  /// Servers whose verdicts ended since the last call, and how long they stood.
  std::vector<std::pair<ServerId, std::chrono::milliseconds>>
  takeEnded(common::TimePoint now);
  /// Number of servers with a verdict.
  std::size_t count(common::TimePoint now) const;
  bool empty() const { return Entries.empty(); }

private:
  struct Verdict {
    std::uint32_t Decider = 0;
    int Level = 0;
    common::TimePoint Until;
  };
  struct Entry {
    std::vector<Verdict> Verdicts; ///< At most MaxDeciders.
    std::uint64_t Identity = 0;
    std::int64_t StartTimeMs = 0;
    common::TimePoint Since;
    double Credit = 0; ///< It may get a flow from 1 on.
  };
  static int levelOf(const Verdict &verdict, common::TimePoint now);
  /// 0 if the server has another run now.
  int levelOf(ServerId id, const Entry &entry, common::TimePoint now) const;
  /// Ready servers of \p service; only those of \p zone, if it is set.
  std::size_t usableServers(NameTable::Id service,
                            std::optional<NameTable::Id> zone = {}) const;

  const ServerDirectory &Directory;
  std::mt19937_64 Random;
  std::map<ServerId, Entry> Entries;
};

} // namespace auburnroute::routing
