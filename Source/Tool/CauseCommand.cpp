#include "Tool/CauseCommand.h"

#include "Common/EpochTime.h"
#include "Common/Text.h"
#include "State/CauseCodec.h"
#include "State/CauseReport.h"
#include "Tool/HostClient.h"

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

#include <nlohmann/json.hpp>

namespace auburnroute::tool {

namespace {

using Json = nlohmann::json;

Json toJson(const state::Trigger &trigger) {
  return {{"cause", state::toString(trigger.Cause)},
          {"subject", trigger.Subject},
          {"revision", trigger.Revision},
          {"first_ms", common::toEpochMilliseconds(trigger.First)}};
}

Json toJson(const state::Finding &finding) {
  Json node{{"service", finding.Service},
            {"cause", state::toString(finding.Cause)},
            {"subject", finding.Subject},
            {"count", finding.Count},
            {"first_ms", common::toEpochMilliseconds(finding.First)},
            {"last_ms", common::toEpochMilliseconds(finding.Last)},
            {"known", !finding.Triggers.empty()},
            {"text", state::describe(finding)},
            {"triggers", Json::array()}};
  for (const auto &it : finding.Triggers)
    node["triggers"].push_back(toJson(it));
  return node;
}

void writeJson(const std::vector<state::Finding> &findings,
               const std::vector<state::Trigger> &triggers,
               const std::vector<HostResponse> &responses, std::ostream &out) {
  Json root{{"findings", Json::array()},
            {"changes_and_failures", Json::array()},
            {"not_answered", failedHosts(responses)}};
  for (const auto &it : triggers)
    root["changes_and_failures"].push_back(toJson(it));
  for (const auto &it : findings)
    root["findings"].push_back(toJson(it));
  out << root.dump(2) << "\n";
}

void writeText(const std::vector<state::Finding> &findings,
               const std::vector<state::Trigger> &triggers,
               const std::vector<HostResponse> &responses, std::ostream &out) {
  for (const auto &it : findings)
    out << state::describe(it) << "\n";
  if (findings.empty())
    out << "No refused, broken or delayed flow was recorded.\n";
  if (!triggers.empty())
    out << "Changes and failures:\n";
  for (const auto &it : triggers)
    out << "  " << state::describe(it) << "\n";
  if (reportFailedHosts(responses, out) > 0)
    out << "Causes that these hosts recorded in their last second may be "
           "missing.\n";
}

absl::StatusOr<absl::Duration> parseSince(const Arguments &arguments) {
  if (arguments.Since.empty())
    return absl::Minutes(60);
  absl::Duration since;
  if (!absl::ParseDuration(arguments.Since, &since) ||
      since <= absl::ZeroDuration())
    return absl::InvalidArgumentError(
        absl::StrCat("--since \"", arguments.Since,
                     "\" is not a duration such as 90s, 60m or 1h"));
  return since;
}

} // namespace

bool CauseCommand::accepts(const Arguments &arguments) const {
  return arguments.Flow.empty() && !arguments.hasCheckFlags() &&
         arguments.Operands.empty() && !arguments.Hosts.empty() &&
         arguments.SettingsFile.empty() && arguments.HtmlFile.empty();
}

int CauseCommand::run(const Arguments &arguments, Output &output) const {
  const auto since = parseSince(arguments);
  if (!since.ok()) {
    output.Err << "auburnctl: " << since.status().message() << "\n";
    return ExitUsage;
  }
  const auto client = HostClient::discover(arguments);
  if (!client.ok()) {
    output.Err << "auburnctl: " << client.status().message() << "\n";
    return ExitFailure;
  }
  auto responses = client->getFromAll(
      absl::StrCat("/cause?since=", absl::ToInt64Seconds(*since)));
  std::vector<state::CauseEntry> entries;
  for (auto &it : responses) {
    if (!it.Body.ok())
      continue;
    const auto decoded = state::decodeCauses(*it.Body);
    if (!decoded.ok()) {
      it.Body = decoded.status();
      continue;
    }
    entries.insert(entries.end(), decoded->begin(), decoded->end());
  }
  const auto findings = state::findCauses(entries, arguments.Service);
  const auto triggers = state::findTriggers(entries);
  if (arguments.WritesJson)
    writeJson(findings, triggers, responses, output.Out);
  else
    writeText(findings, triggers, responses, output.Out);
  return ExitSuccess;
}

} // namespace auburnroute::tool
