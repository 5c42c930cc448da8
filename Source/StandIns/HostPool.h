#pragma once

#include "Common/Endpoint.h"

#include "absl/status/status.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::standins {

/// The hosts that a fabric knows and which of them are ready. Thread-safe.
class HostPool {
public:
  struct Host {
    std::string Name;
    std::string Zone;
    std::string State; ///< As the platform lists it.
    common::Endpoint Packets;
    common::Endpoint Admission;
    common::Endpoint Operator;
  };

  /// \p zones are the availability zones of the fabric; empty means all.
  explicit HostPool(std::set<std::string> zones);

  /// Replaces the hosts by those of a platform host list. Returns the version.
  /// Errors: InvalidArgument; the earlier list then stays.
  absl::Status applyHostList(std::string_view document, std::uint64_t &version);
  /// Hosts of the fabric's own zones.
  std::vector<Host> hostsOfZones() const;
  /// Result of one probe: HTTP status of GET /ready, or 0 if there was no
  /// answer.
  void onProbeResult(const std::string &name, int status);

  /// The name and packets endpoint of a ready, live host of the own zones,
  /// chosen by \p random, or nothing if there is none.
  std::optional<std::pair<std::string, common::Endpoint>>
  pickHost(std::uint64_t random) const;
  /// Whether \p endpoint is or was the packets or admission endpoint of a host.
  bool isHost(const common::Endpoint &endpoint) const;
  /// Names of the hosts that packets are sent to now.
  std::vector<std::string> readyHosts() const;

private:
  struct Entry {
    Host Info;
    bool Ready = false;
    unsigned ConsecutiveFailures = 0;
  };

  bool isEligible(const Entry &entry) const;

  mutable std::mutex Mutex;
  std::set<std::string> Zones;
  std::map<std::string, Entry> Hosts;
  std::set<common::Endpoint> KnownHostEndpoints;
};

} // namespace auburnroute::standins
