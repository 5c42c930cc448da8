#include "Tool/DiffReport.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <vector>

namespace auburnroute::tool {

namespace {

using Json = nlohmann::ordered_json;

std::string formatChange(const state::SettingsChange &change) {
  std::string text = absl::StrFormat(
      "  %s %s", std::string(toString(change.Kind)), change.Subject);
  if (change.Before.empty())
    absl::StrAppend(&text, ": ", change.After);
  else if (change.After.empty())
    absl::StrAppend(&text, ": was ", change.Before);
  else
    absl::StrAppend(&text, ": ", change.Before, " -> ", change.After);
  return text + "\n";
}

std::string formatShares(const state::AffectedFlowShares &shares) {
  auto text = absl::StrFormat("  established flows that break: %.1f%%\n"
                              "  new flows placed elsewhere: %.1f%%\n",
                              100 * shares.Established, 100 * shares.New);
  if (shares.Untagged)
    text += absl::StrFormat(
        "  flows without timestamps that move, and break: "
        "%.1f%%%s\n",
        100 * *shares.Untagged,
        shares.Samples == 0
            ? ""
            : absl::StrCat(" (", shares.Samples, " flow keys sampled)"));
  return text;
}

Json changesToJson(const std::vector<state::SettingsChange> &changes) {
  auto json = Json::array();
  for (const auto &it : changes)
    json.push_back(Json{{"kind", toString(it.Kind)},
                        {"subject", it.Subject},
                        {"before", it.Before},
                        {"after", it.After}});
  return json;
}

} // namespace

std::string DiffReport::text() const {
  auto text = absl::StrFormat("revision %d -> %d\n", Diff.OldRevision,
                              Diff.NewRevision);
  if (Diff.empty())
    text += "no differences\n";
  for (const auto &it : Diff.Changes)
    text += formatChange(it);
  for (const auto &service : Diff.Services) {
    absl::StrAppend(&text, "\nservice ", service.Name, "\n");
    for (const auto &it : service.Changes)
      text += formatChange(it);
    if (service.Shares)
      text += formatShares(*service.Shares);
  }
  if (!Diff.Warnings.empty())
    text += "\nwarnings\n";
  for (const auto &it : Diff.Warnings)
    absl::StrAppend(&text, "  ", it.Text, "\n");
  return text;
}

Json DiffReport::json() const {
  Json json{{"oldRevision", Diff.OldRevision},
            {"newRevision", Diff.NewRevision},
            {"changes", changesToJson(Diff.Changes)},
            {"services", Json::array()},
            {"warnings", Json::array()}};
  for (const auto &it : Diff.Services) {
    Json service{{"name", it.Name}, {"changes", changesToJson(it.Changes)}};
    if (it.Shares) {
      service["establishedFlowsBroken"] = it.Shares->Established;
      service["newFlowsMoved"] = it.Shares->New;
      if (it.Shares->Untagged) {
        service["untaggedFlowsMoved"] = *it.Shares->Untagged;
        service["samples"] = it.Shares->Samples;
      }
    }
    json["services"].push_back(service);
  }
  for (const auto &it : Diff.Warnings)
    json["warnings"].push_back(
        Json{{"kind", toString(it.Kind)}, {"text", it.Text}});
  return json;
}

} // namespace auburnroute::tool
