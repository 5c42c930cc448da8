#pragma once

#include "Coordination/Placement/AdmittedService.h"
#include "Coordination/Placement/FlowRecords.h"
#include "Coordination/Placement/ServerChooser.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburnroute::placement {

/// Builds the list of backend servers of a service, with their loads, that
/// ServerChooser chooses from.
class CandidateList {
public:
  /// The arguments must outlive the object. \p zone is the zone of this host.
  CandidateList(const std::string &zone, const FlowRecords &flows,
                const std::vector<AdmittedServer> &servers,
                const std::vector<AdmittedService> &services)
      : Zone(zone), Flows(flows), Servers(servers), Services(services) {}

  /// The candidates for a flow of \p kind; valid until the next call.
  const std::vector<ServerCandidate> &
  build(common::TimePoint now, std::uint32_t service, state::ListenerKind kind);

private:
  ServerCandidate candidate(common::TimePoint now, std::uint32_t id) const;
  void allowOvercommit(common::TimePoint now, const AdmittedService &service);

  const std::string &Zone;
  const FlowRecords &Flows;
  const std::vector<AdmittedServer> &Servers;
  const std::vector<AdmittedService> &Services;
  std::vector<ServerCandidate> Candidates; ///< Kept to reuse its memory.
};

} // namespace auburnroute::placement
