#include "Tool/BurnCommand.h"

#include "Common/Text.h"
#include "State/BurnReportCodec.h"
#include "Tool/BurnPage.h"
#include "Tool/HostClient.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>

namespace auburnroute::tool {

namespace {

using Json = nlohmann::json;
using ServiceBurns = std::map<std::string, state::ServiceBurnReport>;

/// Flow counts summed over all hosts that responded.
struct CombinedBurn {
  ServiceBurns Services;
  std::chrono::minutes LongestUptime{0};
  std::size_t Hosts = 0;
};

/// Sums the reports of \p responses; those that are not valid become failed
/// ones.
CombinedBurn sumReports(std::vector<HostResponse> &responses) {
  CombinedBurn sum;
  for (auto &it : responses) {
    if (!it.Body.ok())
      continue;
    const auto burn = state::decodeBurnReport(*it.Body);
    if (!burn.ok()) {
      it.Body = burn.status();
      continue;
    }
    state::addBurnReport(sum.Services, *burn);
    sum.LongestUptime = std::max(sum.LongestUptime, burn->Uptime);
    ++sum.Hosts;
  }
  return sum;
}

std::string describeCoverage(const CombinedBurn &burn) {
  return absl::StrCat(
      "Counts from ", burn.Hosts, " hosts; the longest uptime is ",
      burn.LongestUptime.count(),
      " minutes. Hosts keep counts in memory only: a restart loses them, and "
      "a window covers no more than the uptime of the hosts.");
}

double rateInWindow(const state::ServiceBurnReport &burn,
                    state::Objective objective, std::chrono::minutes window) {
  const auto it = burn.Windows.find(window);
  return it == burn.Windows.end()
             ? 0
             : state::burnRate(it->second, objective, burn.Policy);
}

void writeText(const CombinedBurn &burn, std::ostream &out) {
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
        const double longRate = rateInWindow(service, objective, pair.Long);
        const double shortRate = rateInWindow(service, objective, pair.Short);
        out << absl::StrFormat(
            "  %-12s %4d min: %7.2f   %4d min: %7.2f   alert above %.1f%s\n",
            common::toAbsl(state::toString(objective)), pair.Long.count(),
            longRate, pair.Short.count(), shortRate, pair.AlertRate,
            state::isAlerting(longRate, shortRate, pair) ? "  ALERT" : "");
      }
  }
  out << describeCoverage(burn) << "\n";
}

Json toJson(const CombinedBurn &burn) {
  state::HostBurnReport combined{"all hosts", burn.LongestUptime,
                                 burn.Services};
  auto root = Json::parse(state::encodeBurnReport(combined));
  root["hosts"] = burn.Hosts;
  root.erase("host");
  for (const auto &[name, service] : burn.Services)
    for (const auto objective :
         {state::Objective::Availability, state::Objective::Wait})
      for (const auto &pair : state::BurnWindowPairs) {
        const double longRate = rateInWindow(service, objective, pair.Long);
        const double shortRate = rateInWindow(service, objective, pair.Short);
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

bool writePage(const CombinedBurn &burn, const std::string &fileName) {
  std::ofstream file(fileName);
  file << BurnPage(burn.Services, describeCoverage(burn)).html();
  file.flush();
  return file.good();
}

} // namespace

bool BurnCommand::accepts(const Arguments &arguments) const {
  return arguments.Flow.empty() && !arguments.hasCheckFlags() &&
         arguments.Operands.empty() && !arguments.Hosts.empty() &&
         arguments.SettingsFile.empty() && arguments.Service.empty() &&
         arguments.Since.empty();
}

int BurnCommand::run(const Arguments &arguments, Output &output) const {
  const auto client = HostClient::discover(arguments);
  if (!client.ok()) {
    output.Err << "auburnctl: " << client.status().message() << "\n";
    return ExitFailure;
  }
  auto responses = client->getFromAll("/burn");
  const auto burn = sumReports(responses);
  if (!arguments.HtmlFile.empty() && !writePage(burn, arguments.HtmlFile)) {
    output.Err << "auburnctl: " << arguments.HtmlFile
               << ": cannot be written\n";
    return ExitFailure;
  }
  if (arguments.WritesJson) {
    auto root = toJson(burn);
    root["not_answered"] = failedHosts(responses);
    output.Out << root.dump(2) << "\n";
    return ExitSuccess;
  }
  writeText(burn, output.Out);
  reportFailedHosts(responses, output.Out);
  return ExitSuccess;
}

} // namespace auburnroute::tool
