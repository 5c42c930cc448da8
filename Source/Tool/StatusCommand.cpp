#include "Tool/StatusCommand.h"

#include "Tool/HostClient.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdint>
#include <string>

namespace auburnroute::tool {

namespace {

using Json = nlohmann::json;

/// Status of a host that runs auburnedge, which has no settings of its own.
void writeEdgeText(const std::string &name, const Json &status,
                   std::ostream &out) {
  // Hosts of earlier versions do not state the zones.
  std::string zones;
  for (const auto &it : status.value("evacuated_zones", Json::array()))
    zones +=
        (zones.empty() ? ", evacuated zones: " : " ") + it.get<std::string>();
  out << name << ": " << (status.value("ready", false) ? "ready" : "not ready")
      << " in " << status.value("zone", "") << ", configuration "
      << status.value("version", std::uint64_t{0}) << ", registry era "
      << status.value("era", std::uint64_t{0}) << " revision "
      << status.value("revision", std::uint64_t{0}) << ", view "
      << status.value("view_age_ms", std::int64_t{0}) << " ms old, "
      << status.value("servers", std::uint64_t{0}) << " backend servers"
      << zones << "\n";
  // Only of services whose load the hosts exchange.
  for (const auto &it : status.value("loads", Json::array()))
    out << "  " << it.value("service", "") << " in " << it.value("zone", "")
        << ": " << std::lround(it.value("utilization", 0.0) * 100)
        << "% of the slots busy, " << std::lround(it.value("rate", 0.0))
        << " requests/s\n";
}

void writeText(const std::string &name, const Json &status, std::ostream &out) {
  const auto &settings = status.at("settings");
  out << name << ": " << status.value("state", "") << " in "
      << status.value("zone", "") << ", settings revision "
      << settings.value("revision", 0) << ", "
      << status.value("confirmation", "") << ", up "
      << status.value("uptime_seconds", 0) << " s\n";
  const auto &platform = status.at("platform");
  if (platform.value("reader", false) && !platform.value("reachable", false))
    out << "  the platform does not respond; the last settings remain active\n";
  for (const auto &it : settings.at("refusals"))
    out << "  refused revision " << it.value("revision", 0) << ":\n    "
        << it.value("errors", "") << "\n";
  for (const auto &it : status.at("services"))
    out << "  " << it.value("name", "") << ": admission owner "
        << it.value("admission_owner", "") << ", "
        << it.value("backend_servers", 0) << " backend servers\n";
  for (const auto &it : status.at("hosts"))
    if (it.value("state", "") != "live" && it.value("name", "") != name)
      out << "  sees " << it.value("name", "") << " as "
          << it.value("state", "") << "\n";
}

} // namespace

bool StatusCommand::accepts(const Arguments &arguments) const {
  return arguments.Flow.empty() && !arguments.hasCheckFlags() &&
         arguments.Operands.empty() && !arguments.Hosts.empty() &&
         arguments.SettingsFile.empty() && arguments.Service.empty() &&
         arguments.Since.empty() && arguments.HtmlFile.empty();
}

int StatusCommand::run(const Arguments &arguments, Output &output) const {
  const auto client = HostClient::discover(arguments);
  if (!client.ok()) {
    output.Err << "auburnctl: " << client.status().message() << "\n";
    return ExitFailure;
  }
  const auto responses = client->getFromAll("/status");
  Json all{{"hosts", Json::array()}, {"not_answered", failedHosts(responses)}};
  for (const auto &it : responses) {
    if (!it.Body.ok())
      continue;
    const auto status = Json::parse(*it.Body, nullptr, false);
    if (!status.is_object()) {
      output.Err << "auburnctl: " << it.Host
                 << ": the status is not a JSON object\n";
      continue;
    }
    // A status with members of other types must not hide those of other hosts.
    try {
      const auto name = status.value("host", it.Host);
      if (arguments.WritesJson)
        all["hosts"].push_back(status);
      else if (status.contains("settings"))
        writeText(name, status, output.Out);
      else
        writeEdgeText(name, status, output.Out);
    } catch (const Json::exception &ex) {
      output.Err << "auburnctl: " << it.Host << ": " << ex.what() << "\n";
    }
  }
  if (arguments.WritesJson)
    output.Out << all.dump(2) << "\n";
  else
    reportFailedHosts(responses, output.Out);
  return ExitSuccess;
}

} // namespace auburnroute::tool
