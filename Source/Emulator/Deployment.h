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
  double Callers = 1; ///< Its part of the traffic, relative to other zones.
};

/// A service with its backend servers.
struct ServiceSpec {
  std::string Name;
  std::uint32_t Servers = 1; ///< In all zones, dealt out in turn.
  std::uint32_t Slots = 2;   ///< Requests that a server works on at once.
  std::uint32_t Queue = 8;   ///< Requests that wait at it; more are shed.
  std::chrono::milliseconds ColdFor{2000};
  double ColdFactor = 1.6; ///< Work takes so many times as long while cold.
};

/// A kind of request.
struct RequestSpec {
  std::string Name;
  std::string Service;
  routing::RequestKind Kind = routing::RequestKind::Idempotent;
  std::int64_t Feed = 0;   ///< 1: on flows that stay open; 0: a flow each.
  double PerSecond = 1;    ///< Of all zones.
  double Work = 10;        ///< Mean, ms.
  double Spread = 0.5;     ///< Deviation of the logarithm of the work.
  double TailShare = 0.03; ///< Part of the requests that take TailFactor as
                           ///< long.
  double TailFactor = 7;
  std::chrono::milliseconds Objective{100};
  std::chrono::milliseconds TimeLimit{1000};
  double Worth = 1;
  double LateWorth = 0.3;
  std::uint32_t Retries = 2;
};

/// What goes wrong, and planned work.
enum class DisruptionKind : std::uint8_t {
  KillHosts,      ///< A share of the hosts is down for a while.
  CrashServers,   ///< A share of the servers falls silent for good; others
                  ///< start in their place afterwards.
  ReplaceServers, ///< A share is replaced, the new ones first.
  SlowServers,    ///< Work takes a factor as long.
  CutZone,        ///< A zone is cut off from the others.
  Burst,          ///< A factor of the traffic.
};

struct Disruption {
  DisruptionKind Kind = DisruptionKind::KillHosts;
  std::chrono::milliseconds At{0};
  std::chrono::milliseconds For{3000};
  double Share = 0.2;
  double Factor = 2;
  std::string Zone; ///< Empty: any.
};

/// How new flows are placed.
enum class PlacementRule : std::uint8_t { LeastLoad, TwoChoices, Random };

/// A variant of the decisions that is played on the same day as the others.
struct Candidate {
  std::string Name;
  PlacementRule Rule = PlacementRule::LeastLoad;
  double OtherZone = 0.75;
  double Cold = 0.6;
  double OpenFlow = 0.02;
  /// 0: repeated packets raise no suspicion.
  std::chrono::milliseconds SuspicionHold{4000};
};

/// One deployment, a day on it and what is compared.
struct Deployment {
  std::vector<ZoneSpec> Zones;
  std::vector<ServiceSpec> Services;
  std::vector<RequestSpec> Requests;
  std::vector<Disruption> Disruptions;
  std::vector<Candidate> Candidates;
  double InZone = 0.2;    ///< One way, ms.
  double CrossZone = 1.4; ///< One way, ms.
  double CallerWay = 1.0; ///< One way between callers and anything, ms.
  std::chrono::milliseconds Heartbeat{1000};
  /// Until all hosts know of a change of the registry.
  std::chrono::milliseconds ChangeTime{300};
  std::chrono::milliseconds Length{30000};
  double Swing = 0; ///< The traffic moves by this part up and down.
  std::chrono::milliseconds Period{15000};
};

/// Reads JSON with comments. Errors: InvalidArgument, with file, line, path and
/// what is accepted for each fault.
absl::StatusOr<Deployment> loadDeployment(std::string_view text,
                                          std::string_view fileName);

/// The keys of a deployment file, for the reference page.
std::vector<std::string_view> deploymentKeys();

} // namespace auburnroute::emulator
