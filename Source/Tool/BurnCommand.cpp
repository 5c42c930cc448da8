#include "Tool/BurnCommand.h"

#include "Common/Text.h"
#include "State/BurnReportCodec.h"
#include "Tool/BurnPage.h"
#include "Tool/Fleet.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>

namespace auburnroute::tool {

namespace {

using Json = nlohmann::json;
using ServiceBurns = std::map<std::string, state::ServiceBurnReport>;

/// Counts of the whole fleet.
struct FleetBurn {
  ServiceBurns Services;
  std::chrono::minutes LongestUptime{0};
  std::size_t Hosts = 0;
};

std::optional<FleetBurn> sumOf(const std::vector<HostAnswer> &answers,
                               Output &output) {
  FleetBurn sum;
  for (const auto &it : answers) {
    if (!it.Body.ok())
      continue;
    const auto burn = state::decodeBurnReport(*it.Body);
    if (!burn.ok()) {
      output.Err << "auburnctl: " << it.Host << ": " << burn.status().message()
                 << "\n";
      return std::nullopt;
    }
    state::addBurnReport(sum.Services, *burn);
    sum.LongestUptime = std::max(sum.LongestUptime, burn->Uptime);
    ++sum.Hosts;
  }
  return sum;
}

std::string coverageOf(const FleetBurn &burn) {
  return absl::StrCat(
      "Counts of ", burn.Hosts, " hosts, the longest up for ",
      burn.LongestUptime.count(),
      " minutes. Hosts keep nothing: what a host counted ends with it, and a "
      "window reaches back no further than the hosts have been up.");
}

double rateIn(const state::ServiceBurnReport &burn, state::Objective objective,
              std::chrono::minutes window) {
  const auto it = burn.Windows.find(window);
  return it == burn.Windows.end()
             ? 0
             : state::burnRate(it->second, objective, burn.Policy);
}

void writeText(const FleetBurn &burn, std::ostream &out) {
  for (const auto &[name, service] : burn.Services) {
    const auto it = service.Windows.find(state::BurnWindowPairs[0].Long);
    const auto counts =
        it == service.Windows.end() ? state::FlowOutcomeCounts{} : it->second;
    out << name << ": in the last hour " << counts.Good << " flows ended well, "
        << counts.Refused << " refused, " << counts.Broken << " broken, "
        << counts.Slow << " of " << counts.Placed << " waited over "
        << service.Policy.WaitObjective.count() << " ms\n";
    for (const auto objective :
         {state::Objective::Availability, state::Objective::Wait})
      for (const auto &pair : state::BurnWindowPairs) {
        const double longRate = rateIn(service, objective, pair.Long);
        const double shortRate = rateIn(service, objective, pair.Short);
        out << absl::StrFormat(
            "  %-12s %4d min: %7.2f   %4d min: %7.2f   alert above %.1f%s\n",
            common::toAbsl(state::toString(objective)), pair.Long.count(),
            longRate, pair.Short.count(), shortRate, pair.AlertRate,
            state::isAlerting(longRate, shortRate, pair) ? "  ALERT" : "");
      }
  }
  out << coverageOf(burn) << "\n";
}

Json toJson(const FleetBurn &burn) {
  state::HostBurnReport fleet{"all hosts", burn.LongestUptime, burn.Services};
  auto root = Json::parse(state::encodeBurnReport(fleet));
  root["hosts"] = burn.Hosts;
  root.erase("host");
  for (const auto &[name, service] : burn.Services)
    for (const auto objective :
         {state::Objective::Availability, state::Objective::Wait})
      for (const auto &pair : state::BurnWindowPairs) {
        const double longRate = rateIn(service, objective, pair.Long);
        const double shortRate = rateIn(service, objective, pair.Short);
        root["services"][name]["burn"].push_back(
            {{"objective", state::toString(objective)},
             {"long_minutes", pair.Long.count()},
             {"short_minutes", pair.Short.count()},
             {"long_rate", longRate},
             {"short_rate", shortRate},
             {"alert", state::isAlerting(longRate, shortRate, pair)}});
      }
  return root;
}

bool writePage(const FleetBurn &burn, const std::string &fileName) {
  std::ofstream file(fileName);
  file << BurnPage(burn.Services, coverageOf(burn)).html();
  file.flush();
  return file.good();
}

} // namespace

bool BurnCommand::accepts(const Arguments &arguments) const {
  return arguments.Flow.empty() && !arguments.Edge &&
         arguments.Operands.empty() && !arguments.Hosts.empty() &&
         arguments.SettingsFile.empty() && !arguments.Daemon &&
         arguments.Service.empty() && arguments.Since.empty();
}

int BurnCommand::run(const Arguments &arguments, Output &output) const {
  const auto fleet = Fleet::discover(arguments);
  if (!fleet.ok()) {
    output.Err << "auburnctl: " << fleet.status().message() << "\n";
    return ExitFailure;
  }
  const auto answers = fleet->ask("/burn");
  const auto burn = sumOf(answers, output);
  if (!burn)
    return ExitFailure;
  if (!arguments.HtmlFile.empty() && !writePage(*burn, arguments.HtmlFile)) {
    output.Err << "auburnctl: " << arguments.HtmlFile << " cannot be written\n";
    return ExitFailure;
  }
  if (arguments.Json) {
    auto root = toJson(*burn);
    root["not_answered"] = unansweredHosts(answers);
    output.Out << root.dump(2) << "\n";
    return ExitSuccess;
  }
  writeText(*burn, output.Out);
  reportUnanswered(answers, output.Out);
  return ExitSuccess;
}

} // namespace auburnroute::tool
