#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace auburnroute::state {

/// State of a host as this host sees it.
enum class HostState : std::uint8_t {
  Joining, ///< Not confirmed yet; places no new flows.
  Live,
  Suspect, ///< Missed heartbeats, by own observation or a report.
  Leaving, ///< Stopping; still forwards.
  Dead,
};

/// Number of values of HostState; larger ones on the wire are malformed.
inline constexpr std::uint32_t HostStateCount = 5;

/// Stable name of a state, as in reports and metrics.
std::string_view toString(HostState state);

/// Sockets of a host. A zero endpoint is one that is not known.
struct HostAddresses {
  common::Endpoint Packets;   ///< UDP, from the fabric.
  common::Endpoint Admission; ///< UDP, hand-over datagrams.
  common::Endpoint Peer;      ///< TCP, ZeroMQ messages between hosts.
  common::Endpoint Operator;  ///< HTTP.

  bool operator==(const HostAddresses &) const = default;
};

/// State and addresses of one host.
struct Host {
  std::string Name;
  HostAddresses Addresses;
  HostState State = HostState::Joining;
  bool IsLeaving = false; ///< Was announced as leaving in this incarnation.
  bool IsListed = false;  ///< On the last host list of the platform.
  std::uint64_t Incarnation = 0; ///< Process start, ms since the epoch; 0 if
                                 ///< known from the host list only.
  std::uint64_t Sequence = 0;    ///< Last one received or reported.
  common::TimePoint LastHeard;   ///< Last evidence that it is alive.
  common::TimePoint StateSince;
};

/// The hosts of one availability zone, ordered by name and bounded in number.
///
/// References stay valid until the host is erased.
class HostTable {
public:
  /// The largest planned zone has 722 hosts; the rest allows for growth and
  /// for replaced hosts that have not been erased yet.
  static constexpr std::size_t MaxHosts = 4096;

  /// The host, or nullptr.
  const Host *find(std::string_view name) const;
  Host *find(std::string_view name);
  /// The host, added if it is new; nullptr if the table is full.
  Host *add(std::string_view name);
  void erase(std::string_view name);

  /// The first host after \p name in the order, or end().
  auto after(std::string_view name) const { return Hosts.upper_bound(name); }
  std::size_t size() const { return Hosts.size(); }
  auto begin() const { return Hosts.begin(); }
  auto end() const { return Hosts.end(); }
  auto begin() { return Hosts.begin(); }
  auto end() { return Hosts.end(); }

private:
  std::map<std::string, Host, std::less<>> Hosts;
};

} // namespace auburnroute::state
