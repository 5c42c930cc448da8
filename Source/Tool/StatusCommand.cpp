#include "Tool/StatusCommand.h"

#include "Tool/Fleet.h"

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
    out << "  the platform does not answer; the last settings stay in force\n";
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
  return arguments.Flow.empty() && !arguments.Edge &&
         arguments.Operands.empty() && !arguments.Hosts.empty() &&
         arguments.SettingsFile.empty() && !arguments.Daemon &&
         arguments.Service.empty() && arguments.Since.empty() &&
         arguments.HtmlFile.empty();
}

int StatusCommand::run(const Arguments &arguments, Output &output) const {
  const auto fleet = Fleet::discover(arguments);
  if (!fleet.ok()) {
    output.Err << "auburnctl: " << fleet.status().message() << "\n";
    return ExitFailure;
  }
  const auto answers = fleet->ask("/status");
  Json all{{"hosts", Json::array()},
           {"not_answered", unansweredHosts(answers)}};
  for (const auto &it : answers) {
    if (!it.Body.ok())
      continue;
    const auto status = Json::parse(*it.Body);
    if (arguments.Json)
      all["hosts"].push_back(status);
    else
      writeText(status.value("host", it.Host), status, output.Out);
  }
  if (arguments.Json)
    output.Out << all.dump(2) << "\n";
  else
    reportUnanswered(answers, output.Out);
  return ExitSuccess;
}

} // namespace auburnroute::tool
