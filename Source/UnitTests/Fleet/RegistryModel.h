#pragma once

#include "Common/Clock.h"
#include "Fleet/RegistryCall.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace auburnroute::unittests {

/// Model of the registry, of the backend servers that register there and of the
/// operator. The registry can be restored from a backup: it is away for some
/// time and comes back as it was some seconds earlier, in a new era, and gives
/// out revisions again. Servers and operator then write again what is lost.
class RegistryModel {
public:
  static constexpr std::chrono::milliseconds Heartbeat{770};
  /// Entries expire when their server has not written for this long.
  static constexpr std::chrono::milliseconds Lease = 3 * Heartbeat;
  static constexpr std::chrono::milliseconds HistoryRetention{20000};
  /// Between the announcement of a server that it leaves and its end.
  static constexpr std::chrono::milliseconds DrainTime{3500};

  /// What a call is answered with: the page, or why it fails.
  struct Answer {
    std::uint64_t Era = 0;
    std::variant<fleet::RegistryPage, fleet::RegistryFailure> Content;
  };
  struct StoredServer {
    routing::ServerRegistration Entry;
    common::TimePoint ExpiresAt;
  };

  RegistryModel(std::uint64_t seed, common::TimePoint now);

  /// Lets servers and operator write, and entries expire.
  void step(common::TimePoint now);
  /// One random change by an operator or a server.
  void change(common::TimePoint now);
  /// Takes the registry away for \p downtime; it comes back as it was \p age
  /// before \p now. Calls during the downtime are reset or hang.
  void restore(common::TimePoint now, std::chrono::milliseconds age,
               std::chrono::milliseconds downtime);
  /// Zones of the servers; operators evacuate them.
  static constexpr std::array<std::string_view, 3> ZoneNames{"a", "b", "c"};

  /// From now on no call is refused.
  void endFaults() { RefusesCalls = false; }

  bool isDown(common::TimePoint now) const { return now < DownUntil; }
  /// Whether calls hang while the registry is down.
  bool isSilent() const { return IsSilent; }
  /// The answer to \p call, sent at \p sentAt; nullopt if a watch goes on.
  std::optional<Answer> answer(const fleet::RegistryCall &call,
                               common::TimePoint sentAt, common::TimePoint now);

  const std::map<std::string, StoredServer> &servers() const {
    return Now.Servers;
  }
  std::uint64_t newestVersion() const { return NewestVersion; }
  /// The zones that the operator wants to be evacuated, each with the time at
  /// which the registry accepted the request. A restore that loses a request
  /// does not change the time.
  const std::map<std::string, common::TimePoint> &requested() const {
    return Requested;
  }
  /// Whether the registry holds a request for \p zone.
  bool isEvacuated(const std::string &zone) const {
    return Now.Evacuations.contains(zone);
  }
  /// The last time at which the registry held a request for \p zone.
  common::TimePoint lastEvacuated(const std::string &zone) const {
    const auto it = LastEvacuated.find(zone);
    return it == LastEvacuated.end() ? common::TimePoint() : it->second;
  }
  /// The end of the last time at which the registry was away.
  common::TimePoint downUntil() const { return DownUntil; }

private:
  struct Event {
    std::uint64_t Revision = 0;
    common::TimePoint At;
    std::string Name; ///< Empty: the configuration.
    std::optional<routing::ServerRegistration> Entry; ///< Unset: removed.
    std::uint64_t Version = 0;
    std::optional<routing::ZoneEvacuation> Evacuation;
  };
  struct Content {
    common::TimePoint At;
    std::uint64_t Revision = 1;
    std::uint64_t Version = 0;
    std::uint64_t VersionRevision = 0;
    std::map<std::string, StoredServer> Servers;
    std::map<std::string, std::uint64_t> Evacuations; ///< Revisions by zone.
  };
  struct Server {
    routing::ServerRegistration Entry;
    std::uint64_t Sequence = 0;
    bool IsRunning = true;
    common::TimePoint NextCheckIn;
    common::TimePoint CutOffUntil;
    std::optional<common::TimePoint> LeavesAt;
  };

  void addServer(common::TimePoint now);
  void restart(Server &server, common::TimePoint now);
  void checkIn(Server &server, common::TimePoint now);
  void evacuate(const std::string &zone, bool isActive, common::TimePoint now);
  /// Writes what the operator wants and a restored registry does not hold.
  void rewriteEvacuations(common::TimePoint now);
  void writeConfiguration(common::TimePoint now);
  void removeEntry(const std::string &name, common::TimePoint now);
  fleet::RegistryPage list(const std::string &after) const;
  std::size_t below(std::size_t n) { return Random() % n; }

  std::mt19937_64 Random;
  std::uint64_t Era = 1;
  Content Now;
  std::deque<Content> Copies;
  std::deque<Event> Events;
  /// Changes up to this revision are no longer in the history.
  std::uint64_t CompactedRevision = 0;
  std::vector<Server> Servers;
  std::map<std::string, common::TimePoint> Requested;
  std::map<std::string, common::TimePoint> LastEvacuated;
  std::uint64_t NewestVersion = 0;
  std::optional<common::TimePoint> RewriteAt;
  common::TimePoint DownUntil;
  bool IsSilent = false;
  bool RefusesCalls = true;
};

} // namespace auburnroute::unittests
