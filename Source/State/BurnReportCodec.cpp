#include "State/BurnReportCodec.h"

#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>

namespace auburnroute::state {

namespace {

using Json = nlohmann::json;

Json toJson(const FlowOutcomeCounts &counts) {
  return {{"good", counts.Good},
          {"refused", counts.Refused},
          {"broken", counts.Broken},
          {"slow", counts.Slow},
          {"placed", counts.Placed}};
}

FlowOutcomeCounts countsOf(const Json &node) {
  return {node.at("good"), node.at("refused"), node.at("broken"),
          node.at("slow"), node.at("placed")};
}

Json toJson(const ServiceBurnReport &burn) {
  Json node{{"availability_objective", burn.Policy.AvailabilityObjective},
            {"wait_objective_ms", burn.Policy.WaitObjective.count()},
            {"wait_objective_share", burn.Policy.WaitObjectiveShare},
            {"windows", Json::array()},
            {"minutes", Json::array()}};
  for (const auto &[window, counts] : burn.Windows) {
    auto entry = toJson(counts);
    entry["window_minutes"] = window.count();
    node["windows"].push_back(std::move(entry));
  }
  for (const auto &it : burn.Minutes)
    node["minutes"].push_back(toJson(it));
  return node;
}

ServiceBurnReport serviceOf(const Json &node) {
  ServiceBurnReport burn;
  burn.Policy.AvailabilityObjective = node.at("availability_objective");
  burn.Policy.WaitObjective = std::chrono::milliseconds(
      node.at("wait_objective_ms").get<std::int64_t>());
  burn.Policy.WaitObjectiveShare = node.at("wait_objective_share");
  for (const auto &it : node.at("windows"))
    burn.Windows[std::chrono::minutes(
        it.at("window_minutes").get<std::int64_t>())] = countsOf(it);
  for (const auto &it : node.at("minutes"))
    burn.Minutes.push_back(countsOf(it));
  return burn;
}

} // namespace

ServiceBurnReport makeBurnReport(const FlowOutcomeHistory &history,
                                 common::WallTime now,
                                 const std::string &service) {
  ServiceBurnReport burn;
  for (const auto &pair : BurnWindowPairs)
    for (const auto window : {pair.Long, pair.Short})
      burn.Windows[window] = history.sum(now, service, window);
  burn.Minutes = history.minutes(now, service, PlottedMinutes);
  return burn;
}

std::string encodeBurnReport(const HostBurnReport &burn) {
  Json root{{"host", burn.Host},
            {"uptime_minutes", burn.Uptime.count()},
            {"services", Json::object()}};
  for (const auto &[name, service] : burn.Services)
    root["services"][name] = toJson(service);
  // A name of another writer may have invalid UTF-8, for which dump() throws.
  return root.dump(1, ' ', false, Json::error_handler_t::replace) + "\n";
}

absl::StatusOr<HostBurnReport> decodeBurnReport(std::string_view text) {
  try {
    const auto root = Json::parse(text);
    HostBurnReport burn;
    burn.Host = root.at("host");
    burn.Uptime =
        std::chrono::minutes(root.at("uptime_minutes").get<std::int64_t>());
    for (const auto &[name, node] : root.at("services").items())
      burn.Services[name] = serviceOf(node);
    return burn;
  } catch (const Json::exception &ex) {
    return absl::InvalidArgumentError(absl::StrCat("burn: ", ex.what()));
  }
}

void addBurnReport(std::map<std::string, ServiceBurnReport> &sum,
                   const HostBurnReport &burn) {
  for (const auto &[name, service] : burn.Services) {
    auto &to = sum[name];
    to.Policy = service.Policy;
    for (const auto &[window, counts] : service.Windows)
      to.Windows[window] += counts;
    // Aligned at the end: the last entry is the current minute on each host.
    if (to.Minutes.size() < service.Minutes.size())
      to.Minutes.insert(to.Minutes.begin(),
                        service.Minutes.size() - to.Minutes.size(), {});
    const auto offset = to.Minutes.size() - service.Minutes.size();
    for (std::size_t i = 0; i < service.Minutes.size(); ++i)
      to.Minutes[offset + i] += service.Minutes[i];
  }
}

} // namespace auburnroute::state
