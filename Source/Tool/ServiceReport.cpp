#include "Tool/ServiceReport.h"

#include "State/PolicyDescriptors.h"
#include "State/SettingsDescriptors.h"

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <algorithm>

namespace auburnroute::tool {

namespace {

using Json = nlohmann::ordered_json;
using state::PolicyLayer;

bool isZoneLayer(PolicyLayer layer) { return layer == PolicyLayer::Zone; }

/// Writes all described fields of an object; integers stay JSON numbers.
template <class Target>
Json fieldsToJson(const state::FieldTable<Target> &fields,
                  const Target &target) {
  Json json = Json::object();
  for (const auto &it : fields) {
    const auto value = it.Get(target);
    const std::string key(it.Value.Key);
    if (it.Value.Type == state::ValueType::Integer)
      json[key] = std::get<std::int64_t>(value);
    else
      json[key] = it.Value.format(value);
  }
  return json;
}

/// Formats a table with a header line of keys and one line per object.
template <class Target>
std::string formatColumns(const state::FieldTable<Target> &fields,
                          const std::vector<Target> &targets) {
  std::vector<std::string> lines(targets.size() + 1, " ");
  for (const auto &it : fields) {
    std::vector<std::string> cells{std::string(it.Value.Key)};
    for (const auto &target : targets)
      cells.push_back(it.Value.format(it.Get(target)));
    std::size_t width = 0;
    for (const auto &cell : cells)
      width = std::max(width, cell.size());
    for (std::size_t i = 0; i < cells.size(); ++i)
      absl::StrAppend(&lines[i], " ", cells[i],
                      std::string(width - cells[i].size(), ' '));
  }
  std::string text;
  for (const auto &it : lines)
    absl::StrAppend(&text, absl::StripTrailingAsciiWhitespace(it), "\n");
  return text;
}

} // namespace

ServiceReport::ServiceReport(const state::SettingsDocument &document,
                             const state::Service &service)
    : Settings(document.Content), Service(service) {
  std::vector<std::vector<state::PolicyValue>> byZone;
  for (const auto &zone : Settings.Zones)
    byZone.push_back(document.Policies.resolve(service, zone));
  for (std::size_t i = 0; i < state::policyDescriptors().size(); ++i)
    addRows(i, byZone);
}

void ServiceReport::addRows(
    std::size_t index,
    const std::vector<std::vector<state::PolicyValue>> &byZone) {
  const auto &first = byZone.front()[index];
  const bool isSameInAllZones =
      std::all_of(byZone.begin(), byZone.end(), [&](const auto &zone) {
        return zone[index].Value == first.Value &&
               zone[index].Layer == first.Layer && !isZoneLayer(first.Layer);
      });
  if (isSameInAllZones) {
    Policies.push_back(makeRow(index, first, ""));
    return;
  }
  for (std::size_t n = 0; n < byZone.size(); ++n)
    Policies.push_back(makeRow(index, byZone[n][index], Settings.Zones[n]));
}

ServiceReport::Row ServiceReport::makeRow(std::size_t index,
                                          const state::PolicyValue &value,
                                          const std::string &zone) const {
  const auto &descriptor = state::policyDescriptors()[index].Value;
  Row row{std::string(descriptor.Key), zone, descriptor.format(value.Value),
          std::string(state::toString(value.Layer)), ""};
  if (value.Layer == PolicyLayer::Zone)
    row.OriginName = zone;
  else if (value.Layer == PolicyLayer::Owner)
    row.OriginName = Service.Owner;
  else if (value.Layer == PolicyLayer::Service)
    row.OriginName = Service.Name;
  return row;
}

std::string ServiceReport::text() const {
  auto text =
      absl::StrFormat("service %s, owner %s, revision %d\n\nlisteners\n",
                      Service.Name, Service.Owner, Settings.Revision);
  text += formatColumns(state::listenerDescriptors(), Service.Listeners);
  text += "\nbackend servers\n";
  text +=
      formatColumns(state::backendServerDescriptors(), Service.BackendServers);
  text += "\npolicy\n";
  for (const auto &it : Policies) {
    const auto key =
        it.Zone.empty() ? it.Key : absl::StrCat(it.Key, " [", it.Zone, "]");
    text += absl::StrFormat("  %-34s %-9s %s\n", key, it.Value,
                            it.OriginName.empty()
                                ? it.Layer
                                : absl::StrCat(it.Layer, " ", it.OriginName));
  }
  return text;
}

Json ServiceReport::json() const {
  Json json{{"service", Service.Name},         {"owner", Service.Owner},
            {"revision", Settings.Revision},   {"listeners", Json::array()},
            {"backendServers", Json::array()}, {"policy", Json::array()}};
  for (const auto &it : Service.Listeners)
    json["listeners"].push_back(fieldsToJson(state::listenerDescriptors(), it));
  for (const auto &it : Service.BackendServers)
    json["backendServers"].push_back(
        fieldsToJson(state::backendServerDescriptors(), it));
  for (const auto &it : Policies) {
    Json row{{"key", it.Key}, {"value", it.Value}, {"layer", it.Layer}};
    if (!it.OriginName.empty())
      row["name"] = it.OriginName;
    if (!it.Zone.empty())
      row["zone"] = it.Zone;
    json["policy"].push_back(row);
  }
  return json;
}

} // namespace auburnroute::tool
