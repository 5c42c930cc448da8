#pragma once

#include "Emulator/Deployment.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburnroute::emulator {

/// Outcome of a request as its caller sees it.
enum class RequestOutcome : std::uint8_t { OnTime, Late, Failed };

/// Counts and scores of a group of requests.
struct RequestCounts {
  std::uint64_t Total = 0;
  std::uint64_t Late = 0;
  std::uint64_t Failed = 0;
  double MaxCredit = 0;    ///< If all were answered on time.
  double EarnedCredit = 0; ///< Of the answers received.

  /// Earned share of the maximum credit, from 0 to 1.
  double credit() const { return MaxCredit > 0 ? EarnedCredit / MaxCredit : 1; }
  double lateShare() const;
  double failedShare() const;
};

/// Results of one run, measured at the callers and backend servers.
class EmulationResult {
public:
  explicit EmulationResult(const Deployment &deployment);

  /// Adds a request of kind \p request from \p zone, issued at \p issuedAt from
  /// the start of the run.
  void addRequest(std::size_t request, std::size_t zone,
                  std::chrono::nanoseconds issuedAt, RequestOutcome outcome,
                  Milliseconds responseTime);
  /// Adds the flow count of a backend server that ran for the whole run.
  void addServerFlows(std::size_t service, std::uint64_t flows);

  const RequestCounts &all() const { return All; }
  const std::vector<RequestCounts> &byRequest() const { return Requests; }
  const std::vector<RequestCounts> &byZone() const { return Zones; }
  /// By the second in which they were issued.
  const std::vector<RequestCounts> &bySecond() const { return Seconds; }
  /// Mean credit of the two worst windows of two seconds each.
  double worstWindowCredit() const;
  /// Quantile \p share of the response times of answered requests.
  Milliseconds quantile(double share) const;
  /// Flows of the busiest server of a service relative to the mean.
  double busiestOverMean(std::size_t service) const;
  std::uint64_t EventCount = 0;

private:
  const Deployment &Config;
  RequestCounts All;
  std::vector<RequestCounts> Requests;
  std::vector<RequestCounts> Zones;
  std::vector<RequestCounts> Seconds;
  std::vector<double> ResponseTimesMs;
  std::vector<std::vector<std::uint64_t>> FlowsByServer;
};

} // namespace auburnroute::emulator
