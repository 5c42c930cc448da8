#pragma once

#include "Routing/RouteTable.h"

#include "absl/status/statusor.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::emulator {

using Milliseconds = std::chrono::duration<double, std::milli>;

/// An availability zone.
struct ZoneSpec {
  std::string Name;
  std::uint32_t Hosts = 1;
  double TrafficWeight = 1; ///< Share of the traffic relative to other zones.
};

/// A service and its backend servers.
struct ServiceSpec {
  std::string Name;
  std::uint32_t Servers = 1;    ///< Spread over the zones by round robin.
  std::uint32_t Slots = 2;      ///< Requests that a server runs concurrently.
  std::uint32_t QueueLimit = 8; ///< Waiting requests; further ones are shed.
  /// Time after its start in which a server is slower by ColdFactor.
  std::chrono::milliseconds ColdDuration{2000};
  double ColdFactor = 1.6;
};

/// A kind of request with its traffic, cost and objective.
struct RequestSpec {
  std::string Name;
  std::string Service;
  routing::RequestKind Kind = routing::RequestKind::Idempotent;
  /// Requests share flows that stay open, instead of one flow per request.
  bool ReusesFlow = false;
  /// With ReusesFlow: open flows of all zones together, of which a request
  /// takes a random one; 0: as few as are needed.
  std::uint32_t Flows = 0;
  /// With Flows: mean number of requests on a flow until it ends.
  double RequestsPerFlow = 10;
  double RatePerSecond = 1; ///< Mean over the run, all zones together.
  double MeanWorkMs = 10;   ///< Mean processing time on a warm server.
  /// Standard deviation of the logarithm of the processing time.
  double WorkSigma = 0.5;
  /// Share of the requests that take TailFactor times as long.
  double TailShare = 0.03;
  double TailFactor = 7;
  std::chrono::milliseconds Objective{100};  ///< Latency objective.
  std::chrono::milliseconds TimeLimit{1000}; ///< Deadline, with all retries.
  double FullCredit = 1;   ///< Score of an answer within the objective.
  double LateCredit = 0.3; ///< Score of a later answer.
  std::uint32_t Retries = 2;
};

/// A fault, a planned replacement or a surge of traffic.
enum class DisruptionKind : std::uint8_t {
  KillHosts,      ///< Stops a share of the hosts and starts them again.
  CrashServers,   ///< Stops a share of the servers without notice and starts
                  ///< others instead after the duration.
  ReplaceServers, ///< Rolling replacement: starts each new server before the
                  ///< old one drains.
  SlowServers,    ///< Multiplies the processing time on a share of the servers.
  CutZone,        ///< Drops the traffic between a zone and all others.
  Burst,          ///< Multiplies the traffic.
};

struct Disruption {
  DisruptionKind Kind = DisruptionKind::KillHosts;
  std::chrono::milliseconds Offset{0}; ///< From the start of the run.
  std::chrono::milliseconds Duration{3000};
  double Share = 0.2; ///< Affected share of the hosts or servers.
  double Factor = 2;  ///< For SlowServers and Burst.
  std::string Zone;   ///< For CutZone; empty: a random zone.
};

/// How new flows are placed.
enum class PlacementRule : std::uint8_t { LeastLoad, TwoChoices, Random };

/// A set of routing parameters that is compared with others under the same
/// traffic.
struct Candidate {
  std::string Name;
  PlacementRule Rule = PlacementRule::LeastLoad;
  // The weights of routing::PlacementWeights, for LeastLoad.
  double OtherZone = 0.75;
  double Cold = 0.6;
  double OpenFlow = 0.02;
  /// How long a server stays suspect. 0 disables suspicion.
  std::chrono::milliseconds SuspicionHold{4000};
  /// Interval in which hosts get the loads that the others caused up to the
  /// interval before; 0: never.
  std::chrono::milliseconds ShareInterval{0};
  // Of routing::PlacementWeights, for shared loads.
  double Margin = 0;
  std::uint32_t Choices = 0;
  double RemoteRequests = 1;
  double RemoteFlows = 1;
  /// Share of the servers to which a host sends new flows.
  double Subset = 1;
};

/// A deployment with its traffic, its disruptions and the candidates to
/// compare.
struct Deployment {
  std::vector<ZoneSpec> Zones;
  std::vector<ServiceSpec> Services;
  std::vector<RequestSpec> Requests;
  std::vector<Disruption> Disruptions;
  std::vector<Candidate> Candidates;
  // One-way network delays.
  double InZoneDelayMs = 0.2;
  double CrossZoneDelayMs = 1.4;
  double CallerDelayMs = 1.0; ///< Between callers and hosts or servers.
  /// Whether servers acknowledge a request before they answer it, so that
  /// callers do not retransmit it.
  bool AcknowledgesAtOnce = false;
  /// Interval in which servers renew their registration.
  std::chrono::milliseconds HeartbeatInterval{1000};
  /// Longest time until a host learns of a registry change.
  std::chrono::milliseconds PropagationTime{300};
  std::chrono::milliseconds Duration{30000}; ///< Virtual time of one run.
  /// Amplitude of the sinusoidal traffic rate, relative to its mean.
  double RateSwing = 0;
  std::chrono::milliseconds RatePeriod{15000};
};

/// Parses a deployment from JSON with comments. Errors: InvalidArgument, which
/// lists for each problem the file, line and path and the accepted values.
absl::StatusOr<Deployment> loadDeployment(std::string_view text,
                                          std::string_view fileName);

/// All keys of a deployment file; a test checks that each is documented.
std::vector<std::string_view> deploymentKeys();

} // namespace auburnroute::emulator
