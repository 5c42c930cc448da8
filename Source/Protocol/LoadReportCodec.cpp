#include "Protocol/LoadReportCodec.h"

#include "absl/strings/str_cat.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace auburnroute::protocol {

absl::StatusOr<health::LoadReport> decodeLoadReport(std::string_view text) {
  const auto fault = [](const char *what) {
    return absl::InvalidArgumentError(absl::StrCat("load report: ", what));
  };
  const auto root = nlohmann::json::parse(text, nullptr, false);
  if (!root.is_object())
    return fault("not a JSON object");
  const auto service = root.find("service");
  if (service == root.end() || !service->is_string())
    return fault("\"service\" is not a string");
  health::LoadReport report;
  report.Service = service->get<std::string>();
  const auto mode = root.find("state");
  if (mode == root.end() || !mode->is_string())
    return fault("\"state\" is not a string");
  if (*mode == "draining")
    report.Mode = state::BackendServerMode::Draining;
  else if (*mode == "shedding")
    report.IsShedding = true;
  else if (*mode != "active")
    return fault("\"state\" is none of active, draining, shedding");
  const auto number = [&](const char *key, std::uint32_t &to) {
    const auto it = root.find(key);
    if (it == root.end() || !it->is_number_unsigned() ||
        it->get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max())
      return false;
    to = it->get<std::uint32_t>();
    return true;
  };
  if (!number("slots", report.Slots) || !number("busy", report.Busy) ||
      !number("queued", report.Queued) ||
      !number("connections", report.Connections))
    return fault("a count is missing or not a whole number");
  return report;
}

} // namespace auburnroute::protocol
