#pragma once

#include "Common/Endpoint.h"
#include "Tool/Command.h"

#include "absl/status/statusor.h"

#include <string>
#include <vector>

namespace auburnroute::tool {

/// Response of one host.
struct HostResponse {
  std::string Host; ///< Name, or the endpoint if the name is unknown.
  absl::StatusOr<std::string> Body;
};

/// Queries the operator endpoints of the running daemons.
class HostClient {
public:
  /// Queries the hosts of --hosts for the other hosts of their zones, leaving
  /// out those whose state is "dead". Errors: InvalidArgument for an invalid
  /// endpoint, Unavailable if no host responds.
  static absl::StatusOr<HostClient> discover(const Arguments &arguments);

  /// Sends GET \p path to each host, one after the other.
  std::vector<HostResponse> getFromAll(const std::string &path) const;

private:
  struct Host {
    std::string Name;
    common::Endpoint Operator;
  };
  std::vector<Host> Hosts;
};

/// Names of the hosts that did not respond or responded with an error.
std::vector<std::string>
failedHosts(const std::vector<HostResponse> &responses);

/// Writes one line for each of failedHosts(); returns their number.
std::size_t reportFailedHosts(const std::vector<HostResponse> &responses,
                              std::ostream &out);

} // namespace auburnroute::tool
