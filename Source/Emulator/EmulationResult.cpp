#include "Emulator/EmulationResult.h"

#include <algorithm>
#include <numeric>

namespace auburnroute::emulator {

namespace {

double fraction(std::uint64_t part, std::uint64_t all) {
  return all == 0 ? 0 : static_cast<double>(part) / static_cast<double>(all);
}

void addOutcome(RequestCounts &counts, const RequestSpec &spec,
                RequestOutcome outcome) {
  ++counts.Total;
  counts.MaxCredit += spec.FullCredit;
  switch (outcome) {
  case RequestOutcome::OnTime:
    counts.EarnedCredit += spec.FullCredit;
    break;
  case RequestOutcome::Late:
    ++counts.Late;
    counts.EarnedCredit += spec.LateCredit;
    break;
  case RequestOutcome::Failed:
    ++counts.Failed;
    break;
  }
}

} // namespace

double RequestCounts::lateShare() const { return fraction(Late, Total); }
double RequestCounts::failedShare() const { return fraction(Failed, Total); }

EmulationResult::EmulationResult(const Deployment &deployment)
    : Config(deployment), Requests(deployment.Requests.size()),
      Zones(deployment.Zones.size()),
      Seconds(static_cast<std::size_t>(deployment.Duration.count() / 1000 + 1)),
      FlowsByServer(deployment.Services.size()) {}

void EmulationResult::addRequest(std::size_t request, std::size_t zone,
                                 std::chrono::nanoseconds issuedAt,
                                 RequestOutcome outcome,
                                 Milliseconds responseTime) {
  const auto &spec = Config.Requests[request];
  const auto second = std::min<std::size_t>(
      static_cast<std::size_t>(
          std::chrono::duration_cast<std::chrono::seconds>(issuedAt).count()),
      Seconds.size() - 1);
  for (auto *it : {&All, &Requests[request], &Zones[zone], &Seconds[second]})
    addOutcome(*it, spec, outcome);
  if (outcome != RequestOutcome::Failed)
    ResponseTimesMs.push_back(responseTime.count());
}

void EmulationResult::addServerFlows(std::size_t service, std::uint64_t flows) {
  FlowsByServer[service].push_back(flows);
}

double EmulationResult::worstWindowCredit() const {
  std::vector<double> windows;
  for (std::size_t i = 0; i + 1 < Seconds.size(); i += 2) {
    const double maxCredit = Seconds[i].MaxCredit + Seconds[i + 1].MaxCredit;
    if (maxCredit > 0)
      windows.push_back(
          (Seconds[i].EarnedCredit + Seconds[i + 1].EarnedCredit) / maxCredit);
  }
  std::ranges::sort(windows);
  windows.resize(std::min<std::size_t>(windows.size(), 2));
  return windows.empty()
             ? 1
             : std::accumulate(windows.begin(), windows.end(), 0.0) /
                   static_cast<double>(windows.size());
}

Milliseconds EmulationResult::quantile(double share) const {
  if (ResponseTimesMs.empty())
    return Milliseconds(0);
  auto sorted = ResponseTimesMs;
  const auto index = static_cast<std::ptrdiff_t>(
      share * static_cast<double>(sorted.size() - 1));
  std::ranges::nth_element(sorted, sorted.begin() + index);
  return Milliseconds(sorted[static_cast<std::size_t>(index)]);
}

double EmulationResult::busiestOverMean(std::size_t service) const {
  const auto &flows = FlowsByServer[service];
  const auto sum =
      std::accumulate(flows.begin(), flows.end(), std::uint64_t{0});
  if (sum == 0)
    return 1;
  return static_cast<double>(*std::ranges::max_element(flows)) *
         static_cast<double>(flows.size()) / static_cast<double>(sum);
}

} // namespace auburnroute::emulator
