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
    std::string State; ///< As in the host list, such as "live".
    common::Endpoint Packets;
    common::Endpoint Admission;
    common::Endpoint Operator;
  };

  /// \p zones are the availability zones of the fabric; empty means all.
  explicit HostPool(std::set<std::string> zones);

  /// Replaces the hosts by those of the host list \p document and sets
  /// \p version to its version. Readiness carries over by host name. Errors:
  /// InvalidArgument if the document is malformed; the hosts then stay, but
  /// \p version may have been set.
  absl::Status applyHostList(std::string_view document, std::uint64_t &version);
  /// Hosts of the fabric's zones, in any state.
  std::vector<Host> hostsOfZones() const;
  /// Records a probe: \p status is the HTTP status of GET /ready, or 0 if there
  /// was no response.
  void onProbeResult(const std::string &name, int status);

  /// Name and packets endpoint of a ready, live host of the fabric's zones,
  /// selected by \p random; nothing if there is none.
  std::optional<std::pair<std::string, common::Endpoint>>
  pickHost(std::uint64_t random) const;
  /// Whether \p endpoint is or was the packets or admission endpoint of a host.
  bool isHost(const common::Endpoint &endpoint) const;
  /// Names of the hosts that pickHost() selects from.
  std::vector<std::string> readyHosts() const;

private:
  struct Entry {
    Host Info;
    bool IsReady = false;
    unsigned ConsecutiveFailures = 0;
  };

  bool isEligible(const Entry &entry) const;

  mutable std::mutex Mutex;
  std::set<std::string> Zones;
  std::map<std::string, Entry> Hosts;
  std::set<common::Endpoint> KnownHostEndpoints;
};

} // namespace auburnroute::standins
