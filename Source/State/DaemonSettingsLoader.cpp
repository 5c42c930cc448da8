#include "State/DaemonSettingsLoader.h"

#include "Common/Text.h"

#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>

namespace auburnroute::state {

absl::StatusOr<DaemonSettings> loadDaemonSettings(std::string_view text,
                                                  std::string_view fileName) {
  try {
    const auto root = nlohmann::json::parse(text, nullptr, true, true);
    const auto endpoint = [&](const char *key) {
      return common::parseEndpoint(root.at(key).get<std::string>()).value();
    };
    DaemonSettings settings;
    settings.Host = root.at("host");
    settings.Zone = root.at("zone");
    settings.Packets = endpoint("packets");
    settings.Admission = endpoint("admission");
    settings.Peer = endpoint("peer");
    settings.Operator = endpoint("operator");
    settings.Gateway = endpoint("gateway");
    if (root.contains("platform"))
      settings.Platform = endpoint("platform");
    settings.SharedKey = root.at("sharedKey");
    settings.TrafficThreads = root.value("trafficThreads", 1U);
    return settings;
  } catch (const std::exception &ex) {
    return absl::InvalidArgumentError(
        absl::StrCat(common::toAbsl(fileName), ":1: ", ex.what()));
  }
}

} // namespace auburnroute::state
