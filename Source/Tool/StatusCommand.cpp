#include "Tool/StatusCommand.h"

#include "Tool/HostClient.h"

#include <nlohmann/json.hpp>

namespace auburnroute::tool {

namespace {

using Json = nlohmann::json;

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
  return arguments.Flow.empty() && !arguments.IsEdgeFile &&
         arguments.Operands.empty() && !arguments.Hosts.empty() &&
         arguments.SettingsFile.empty() && !arguments.IsDaemonFile &&
         arguments.Service.empty() && arguments.Since.empty() &&
         arguments.HtmlFile.empty();
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
    const auto status = Json::parse(*it.Body);
    if (arguments.WritesJson)
      all["hosts"].push_back(status);
    else
      writeText(status.value("host", it.Host), status, output.Out);
  }
  if (arguments.WritesJson)
    output.Out << all.dump(2) << "\n";
  else
    reportFailedHosts(responses, output.Out);
  return ExitSuccess;
}

} // namespace auburnroute::tool
