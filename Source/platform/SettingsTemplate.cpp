#include "platform/SettingsTemplate.h"

#include "Common/Text.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <map>

namespace auburnroute::platform {

namespace {

using Samples = std::map<std::string, std::string, std::less<>>;

/// The fields that the platform provides for a process, with the sample values
/// of the platform's documentation.
const Samples &samples() {
  static const Samples values{
      {"node", "front-sando-1"},
      {"role", "edge"},
      {"class", "front"},
      {"ip", "10.1.0.10"},
      {"zone", "sando"},
      {"region", "tt-south"},
      {"internal_port_range.0", "7720"},
      {"internal_port_range.1", "7735"},
      {"heartbeat_ms", "770"},
      {"listen.datagram_addr", "10.1.0.10:8172"},
      {"listen.ready", "10.1.0.10:8167"},
      {"listen.control", "10.1.0.10:8166"},
      {"limits.cpu_share", "0.25"},
      {"limits.memory_mb", "260"},
      {"limits.max_fds", "4100"},
      {"limits.link_mbps", "1000.0"},
      {"platform.address", "10.200.1.7:8169"},
      {"bounds.drain_ms", "3000"},
      {"bounds.propagation_ms", "3000"},
      {"bounds.evacuate_ms", "5000"},
      {"bounds.grace_s", "6"},
      {"bounds.flow_lifetime_s", "60"},
      {"bounds.cold_overage", "1.5"},
      {"bounds.cold_slack", "5.0"},
      {".", "10.2.0.40:8166"}, // The current element of a section.
      {",", ""},               // Separator, empty after the last element.
  };
  return values;
}

bool isKnownSection(std::string_view name) {
  // Bounds that only some deployments have.
  return name == "seeds" || name == "bootstrap" ||
         name == "bounds.evacuate_ms" || name == "bounds.cold_overage" ||
         name == "bounds.cold_slack";
}

} // namespace

bool SettingsTemplate::isTemplate(std::string_view text) {
  return text.find("{{") != std::string_view::npos;
}

absl::StatusOr<std::string>
SettingsTemplate::fillWithSamples(std::string_view text,
                                  std::string_view fileName) {
  std::string filled;
  std::size_t position = 0;
  while (true) {
    const auto open = text.find("{{", position);
    filled.append(text.substr(position, open - position));
    if (open == std::string_view::npos)
      return filled;
    const auto errorAt = [&](std::string_view what, std::string_view name) {
      const auto line =
          1 + std::count(text.begin(),
                         text.begin() + static_cast<std::ptrdiff_t>(open),
                         '\n');
      return absl::InvalidArgumentError(
          absl::StrCat(common::toAbsl(fileName), ":", line, ": {{",
                       common::toAbsl(name), "}}: ", common::toAbsl(what)));
    };
    const auto close = text.find("}}", open);
    if (close == std::string_view::npos)
      return errorAt("unclosed placeholder, expected }}",
                     text.substr(open + 2, 20));
    auto name = text.substr(open + 2, close - open - 2);
    position = close + 2;
    if (name.starts_with('#') || name.starts_with('/')) {
      if (!isKnownSection(name.substr(1)))
        return errorAt("unknown section, expected seeds, bootstrap or an "
                       "optional bound",
                       name);
      continue;
    }
    const auto it = samples().find(name);
    if (it == samples().end())
      return errorAt("unknown settings field", name);
    filled.append(it->second);
  }
}

} // namespace auburnroute::platform
