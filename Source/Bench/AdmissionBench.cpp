// Compares placement policies on the same arrivals. Prints one JSON object per
// line with the median over all seeds. A bound holds only if it holds for each
// seed; the exit status is 1 if a bound is missed. The seeds are taken from
// AUBURN_TEST_SEEDS, "1 2 3 4 5" by default.

#include "Bench/PlacementPolicies.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>

namespace auburnroute::bench {

namespace {

struct Metric {
  const char *Name;
  const char *Unit;
  double RunResult::*Value;
};

constexpr Metric Metrics[] = {
    {"waitP50", "ms", &RunResult::WaitP50},
    {"waitP99", "ms", &RunResult::WaitP99},
    {"waitWorst", "ms", &RunResult::WaitWorst},
    {"unserved", "%", &RunResult::Unserved},
    {"imbalance", "ratio", &RunResult::Imbalance},
    {"goodput", "1/s", &RunResult::Goodput},
    {"completed", "1/s", &RunResult::Completed},
    {"refusals", "%", &RunResult::Refusals},
    {"retries", "%", &RunResult::Retries},
};

constexpr const char *BaselinePolicyName = "least-outstanding";
constexpr const char *OwnerPolicyName = "admission-owner";

struct Bound {
  std::string Text;
  bool Holds = false;
};

/// Returns the bound that requirements R10 and R11 set for a metric of the
/// admission owner, or nullopt if they set none. \p baseline is the value of
/// the same metric under the baseline policy.
std::optional<Bound> boundFor(const std::string &metric, double value,
                              double baseline) {
  if (metric == "waitP99")
    return Bound{"<= 0.5 * baseline", value <= 0.5 * baseline};
  if (metric == "goodput")
    return Bound{">= baseline", value >= baseline};
  if (metric == "imbalance")
    return Bound{"<= 1.15", value <= 1.15};
  if (metric == "retries")
    return Bound{"<= 10", value <= 10};
  return std::nullopt;
}

std::vector<Scenario> scenarios() {
  std::vector<Scenario> all;
  const auto add = [&](Scenario it, const std::string &name, auto change) {
    it.Name += "/" + name;
    change(it);
    all.push_back(it);
  };
  Scenario carenage;
  carenage.Name = "carenage";
  Scenario lomoClaro = carenage;
  lomoClaro.Name = "lomo-claro";
  lomoClaro.Slots = 3;
  lomoClaro.QueueTimeout = milliseconds(800);
  for (const auto &it : {carenage, lomoClaro}) {
    add(it, "below-capacity", [](auto &) {});
    add(it, "above-capacity", [](auto &s) { s.PeakLoad = 1.1; });
    add(it, "reports-lag", [](auto &s) { s.ReportLag = seconds(1); });
    add(it, "reports-lie", [](auto &s) { s.MisreportsLoad = true; });
    add(it, "cold-start", [](auto &s) { s.HasColdServer = true; });
    add(it, "sheds", [](auto &s) { s.ShedsLoad = true; });
    add(it, "handshake", [](auto &s) {
      // The one-way delay is 1 ms for carenage and 3 ms for lomo-claro.
      s.Handshake = milliseconds(s.Slots == 2 ? 2 : 6);
    });
    add(it, "one-zone", [](auto &s) {
      s.Servers = 5;
      s.Hosts = 3;
    });
  }
  return all;
}

std::vector<std::uint64_t> seeds() {
  const char *text = std::getenv("AUBURN_TEST_SEEDS");
  std::istringstream in(text != nullptr ? text : "1 2 3 4 5");
  return {std::istream_iterator<std::uint64_t>(in), {}};
}

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

/// Maps the name of a policy to its results, one per seed.
using Results = std::map<std::string, std::vector<RunResult>>;

template <typename Policy>
std::vector<RunResult> runAll(const Scenario &scenario) {
  std::vector<RunResult> results;
  for (const auto seed : seeds()) {
    QueueingModel model(scenario, seed);
    Policy policy;
    results.push_back(model.run(policy));
  }
  return results;
}

std::vector<double> metricValues(const std::vector<RunResult> &results,
                                 const Metric &metric) {
  std::vector<double> values(results.size());
  std::transform(results.begin(), results.end(), values.begin(),
                 [&](const auto &it) { return it.*metric.Value; });
  return values;
}

/// Prints the line of one metric; returns whether its bound holds, if it has
/// one.
bool print(const Scenario &scenario, const std::string &policy,
           const Metric &metric, const Results &results) {
  const auto values = metricValues(results.at(policy), metric);
  const auto baseline = metricValues(results.at(BaselinePolicyName), metric);
  nlohmann::ordered_json line;
  line["name"] = scenario.Name + "/" + policy + "/" + metric.Name;
  line["baseline"] = median(baseline);
  line["value"] = median(values);
  line["unit"] = metric.Unit;
  line["bound"] = nullptr;
  line["holds"] = nullptr;
  std::size_t held = 0;
  bool bounded = false;
  for (std::size_t i = 0; i < values.size() && policy == OwnerPolicyName; ++i)
    if (const auto bound = boundFor(metric.Name, values[i], baseline[i])) {
      bounded = true;
      held += bound->Holds;
      line["bound"] = bound->Text;
      line["holds"] = held == values.size();
      line["seedsThatHold"] = held;
      line["seeds"] = values.size();
    }
  std::cout << line.dump() << "\n";
  return !bounded || held == values.size();
}

/// Runs all policies on \p scenario and prints their metrics. Returns the
/// number of bounds that do not hold.
int compare(const Scenario &scenario) {
  const Results results{
      {"round-robin", runAll<RoundRobinPolicy>(scenario)},
      {BaselinePolicyName, runAll<LeastOutstandingPolicy>(scenario)},
      {"two-choices", runAll<TwoChoicesPolicy>(scenario)},
      {OwnerPolicyName, runAll<AdmissionOwnerPolicy>(scenario)},
  };
  int failedBounds = 0;
  for (const auto &[policy, runs] : results)
    for (const auto &metric : Metrics)
      failedBounds += !print(scenario, policy, metric, results);
  return failedBounds;
}

} // namespace

} // namespace auburnroute::bench

int main() {
  int failedBounds = 0;
  for (const auto &scenario : auburnroute::bench::scenarios())
    failedBounds += auburnroute::bench::compare(scenario);
  return failedBounds == 0 ? 0 : 1;
}
