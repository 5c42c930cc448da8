#include "Daemon/ControlReports.h"

#include "Common/Text.h"
#include "State/BurnReportCodec.h"
#include "State/CauseCodec.h"

#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>

namespace auburnroute::daemon {

std::string ControlReports::statusJson(std::uint64_t bytesSent,
                                       std::uint64_t bytesReceived) const {
  nlohmann::json root;
  root["host"] = View.Local.Host;
  root["zone"] = View.Local.Zone;
  root["state"] = state::toString(View.Members.selfState());
  root["confirmation"] = membership::toString(View.Members.confirmation());
  root["ready"] = View.IsReady;
  root["uptime_seconds"] = std::chrono::duration_cast<std::chrono::seconds>(
                               View.Clock.now() - View.StartTime)
                               .count();
  auto &settings = root["settings"];
  settings["revision"] = View.Follower.stamp().Revision;
  settings["digest"] = View.Follower.stamp().Digest;
  settings["refusals"] = nlohmann::json::array();
  for (const auto &it : View.Follower.refusals())
    settings["refusals"].push_back(
        {{"revision", it.Stamp.Revision}, {"errors", it.Errors}});
  root["platform"] = {{"reachable", View.IsPlatformReachable},
                      {"reader", View.Members.isSettingsReader()},
                      {"host_list_version", View.HostListVersion}};
  root["control"] = {{"bytes_sent", bytesSent},
                     {"bytes_received", bytesReceived}};
  root["hosts"] = nlohmann::json::array();
  for (const auto &[name, host] : View.Members.hosts())
    root["hosts"].push_back(
        {{"name", name},
         {"state", state::toString(host.State)},
         {"operator", common::toString(host.Addresses.Operator)}});
  root["services"] = nlohmann::json::array();
  if (View.Follower.settings())
    for (const auto &it : View.Follower.settings()->Services)
      root["services"].push_back(
          {{"name", it.Name},
           {"admission_owner",
            View.Members.admissionOwner(it.Name).value_or("")},
           {"backend_servers", it.BackendServers.size()}});
  root["waits"] = {{"count", View.Waits.Count},
                   {"mean_us", View.Waits.Mean.count()},
                   {"p50_us", View.Waits.Median.count()},
                   {"p99_us", View.Waits.Percentile99.count()},
                   {"max_us", View.Waits.Longest.count()}};
  return root.dump(2) + "\n";
}

std::string ControlReports::causesJson(std::chrono::seconds since) const {
  return state::encodeCauses(View.Local.Host,
                             View.Causes.since(View.Clock.wallTime() - since));
}

std::string ControlReports::burnJson() const {
  state::HostBurnReport burn;
  burn.Host = View.Local.Host;
  burn.Uptime = std::chrono::duration_cast<std::chrono::minutes>(
      View.Clock.now() - View.StartTime);
  const auto wall = View.Clock.wallTime();
  const auto &settings = View.Follower.settings();
  for (const auto &name : View.FlowOutcomes.services()) {
    auto &service = burn.Services[name] =
        state::makeBurnReport(View.FlowOutcomes, wall, name);
    const auto *found = settings ? settings->findService(name) : nullptr;
    const auto zone =
        settings ? settings->zoneIndex(View.Local.Zone) : std::nullopt;
    if (found != nullptr && zone)
      service.Policy = found->PolicyByZone[*zone];
  }
  return state::encodeBurnReport(burn);
}

std::string ControlReports::metricsText() const {
  std::string text;
  const auto add = [&](absl::string_view name, absl::string_view type,
                       std::uint64_t value) {
    absl::StrAppend(&text, "# TYPE auburnroute_", name, " ", type,
                    "\nauburnroute_", name, " ", value, "\n");
  };
  add("settings_revision", "gauge", View.Follower.stamp().Revision);
  add("settings_refused_total", "counter", View.Follower.counters().Refused);
  add("hosts_known", "gauge", View.Members.hosts().size());
  add("confirmed", "gauge", View.IsConfirmed ? 1 : 0);
  add("suspicions_total", "counter", View.Members.counters().Suspicions);
  add("doubt_probes_total", "counter", View.Members.counters().OnDemandProbes);
  add("pauses_total", "counter", View.Members.counters().Pauses);
  add("cause_entries", "gauge", View.Causes.size());
  add("cause_entries_evicted_total", "counter", View.Causes.evicted());
  for (int i = 0; i < static_cast<int>(protocol::PeerRefusalReason::Count);
       ++i) {
    const auto reason = static_cast<protocol::PeerRefusalReason>(i);
    absl::StrAppend(&text, "auburnroute_peer_frames_refused_total{reason=\"",
                    common::toAbsl(protocol::toString(reason)), "\"} ",
                    View.Codec.refusedFrames(reason), "\n");
  }
  absl::StrAppend(
      &text, "auburnroute_flow_wait_microseconds{quantile=\"0.5\"} ",
      View.Waits.Median.count(),
      "\nauburnroute_flow_wait_microseconds{quantile=\"0.99\"} ",
      View.Waits.Percentile99.count(),
      "\nauburnroute_flow_wait_microseconds_count ", View.Waits.Count, "\n");
  return text;
}

} // namespace auburnroute::daemon
