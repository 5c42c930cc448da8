#pragma once

#include "Emulator/Deployment.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburnroute::emulator {

/// How a request ended for its caller.
enum class RequestOutcome : std::uint8_t { OnTime, Late, Failed };

/// Counts of some requests.
struct RequestCounts {
  std::uint64_t Total = 0;
  std::uint64_t Late = 0;
  std::uint64_t Failed = 0;
  double MaxCredit = 0;    ///< Worth of all.
  double EarnedCredit = 0; ///< Worth of those that were answered.

  double credit() const { return MaxCredit > 0 ? EarnedCredit / MaxCredit : 1; }
  double lateShare() const;
  double failedShare() const;
};

/// What callers and backend servers saw of one day.
class EmulationResult {
public:
  explicit EmulationResult(const Deployment &deployment);

  /// A request of kind \p request from \p zone, asked \p askedAt after the
  /// start, ended after \p time.
  void addRequest(std::size_t request, std::size_t zone,
                  std::chrono::nanoseconds issuedAt, RequestOutcome outcome,
                  Milliseconds responseTime);
  /// A backend server of \p service that served all day took so many flows.
  void addServerFlows(std::size_t service, std::uint64_t flows);

  const RequestCounts &all() const { return All; }
  const std::vector<RequestCounts> &byRequest() const { return Requests; }
  const std::vector<RequestCounts> &byZone() const { return Zones; }
  /// By second in which they were asked.
  const std::vector<RequestCounts> &bySecond() const { return Seconds; }
  /// Credit of the two worst spans of two seconds.
  double worstWindowCredit() const;
  /// Of the requests that were answered.
  Milliseconds quantile(double share) const;
  /// Flows of the busiest server of a service over the mean.
  double busiestOverMean(std::size_t service) const;
  std::uint64_t EventCount = 0;

private:
  const Deployment &Config;
  RequestCounts All;
  std::vector<RequestCounts> Requests;
  std::vector<RequestCounts> Zones;
  std::vector<RequestCounts> Seconds;
  std::vector<double> ResponseTimesMs; ///< ms
  std::vector<std::vector<std::uint64_t>> FlowsByServer;
};

} // namespace auburnroute::emulator
