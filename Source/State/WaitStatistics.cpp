#include "State/WaitStatistics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>

namespace auburnroute::state {

namespace {

namespace acc = boost::accumulators;

using WaitSet = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max>>;
using QuantileSet =
    acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

std::chrono::microseconds microseconds(double n) {
  return std::chrono::microseconds(static_cast<std::int64_t>(n));
}

} // namespace

struct WaitStatistics::Accumulators {
  WaitSet Set;
  QuantileSet Median{acc::quantile_probability = 0.5};
  QuantileSet Percentile99{acc::quantile_probability = 0.99};
};

WaitStatistics::WaitStatistics() : Waits(std::make_unique<Accumulators>()) {}

WaitStatistics::~WaitStatistics() = default;

void WaitStatistics::add(std::chrono::nanoseconds wait) {
  const double n = std::chrono::duration<double, std::micro>(wait).count();
  Waits->Set(n);
  Waits->Median(n);
  Waits->Percentile99(n);
}

WaitSummary WaitStatistics::summary() const {
  const auto &set = Waits->Set;
  WaitSummary summary;
  summary.Count = acc::count(set);
  if (summary.Count == 0)
    return summary;
  summary.Mean = microseconds(acc::mean(set));
  summary.Longest = microseconds(acc::max(set));
  summary.Median = microseconds(acc::p_square_quantile(Waits->Median));
  summary.Percentile99 =
      microseconds(acc::p_square_quantile(Waits->Percentile99));
  return summary;
}

} // namespace auburnroute::state
