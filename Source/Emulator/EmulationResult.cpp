#include "Emulator/EmulationResult.h"

#include <algorithm>
#include <numeric>

namespace auburnroute::emulator {

namespace {

double shareOf(std::uint64_t part, std::uint64_t all) {
  return all == 0 ? 0 : static_cast<double>(part) / static_cast<double>(all);
}

void count(RequestCounts &counts, const RequestSpec &spec, RequestOutcome end) {
  ++counts.Total;
  counts.MaxCredit += spec.FullCredit;
  switch (end) {
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

double RequestCounts::lateShare() const { return shareOf(Late, Total); }
double RequestCounts::failedShare() const { return shareOf(Failed, Total); }

EmulationResult::EmulationResult(const Deployment &deployment)
    : Config(deployment), Requests(deployment.Requests.size()),
      Zones(deployment.Zones.size()),
      Seconds(static_cast<std::size_t>(deployment.Duration.count() / 1000 + 1)),
      FlowsByServer(deployment.Services.size()) {}

void EmulationResult::add(std::size_t request, std::size_t zone,
                          std::chrono::nanoseconds issuedAt, RequestOutcome end,
                          Milliseconds time) {
  const auto &spec = Config.Requests[request];
  const auto second = std::min<std::size_t>(
      static_cast<std::size_t>(
          std::chrono::duration_cast<std::chrono::seconds>(issuedAt).count()),
      Seconds.size() - 1);
  for (auto *it : {&All, &Requests[request], &Zones[zone], &Seconds[second]})
    count(*it, spec, end);
  if (end != RequestOutcome::Failed)
    Times.push_back(time.count());
}

void EmulationResult::addServer(std::size_t service, std::uint64_t flows) {
  FlowsByServer[service].push_back(flows);
}

double EmulationResult::worstSpans() const {
  std::vector<double> spans;
  for (std::size_t i = 0; i + 1 < Seconds.size(); i += 2) {
    const double maxCredit = Seconds[i].MaxCredit + Seconds[i + 1].MaxCredit;
    if (maxCredit > 0)
      spans.push_back((Seconds[i].EarnedCredit + Seconds[i + 1].EarnedCredit) /
                      maxCredit);
  }
  std::ranges::sort(spans);
  spans.resize(std::min<std::size_t>(spans.size(), 2));
  return spans.empty() ? 1
                       : std::accumulate(spans.begin(), spans.end(), 0.0) /
                             static_cast<double>(spans.size());
}

Milliseconds EmulationResult::quantile(double share) const {
  if (Times.empty())
    return Milliseconds(0);
  auto sorted = Times;
  const auto at = static_cast<std::ptrdiff_t>(
      share * static_cast<double>(sorted.size() - 1));
  std::ranges::nth_element(sorted, sorted.begin() + at);
  return Milliseconds(sorted[static_cast<std::size_t>(at)]);
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
