#include "Protocol/LoadReportCodec.h"

#include "absl/strings/str_cat.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace auburnroute::protocol {

absl::StatusOr<health::LoadReport> decodeLoadReport(std::string_view text) {
  const auto formatError = [](const char *what) {
    return absl::InvalidArgumentError(absl::StrCat("load report: ", what));
  };
  const auto root = nlohmann::json::parse(text, nullptr, false);
  if (!root.is_object())
    return formatError("not a JSON object");
  const auto service = root.find("service");
  if (service == root.end() || !service->is_string())
    return formatError("\"service\" is not a string");
  health::LoadReport report;
  report.Service = service->get<std::string>();
  const auto modeNode = root.find("state");
  if (modeNode == root.end() || !modeNode->is_string())
    return formatError("\"state\" is not a string");
  if (*modeNode == "draining")
    report.Mode = state::BackendServerMode::Draining;
  else if (*modeNode == "shedding")
    report.IsShedding = true;
  else if (*modeNode != "active")
    return formatError("\"state\" is not active, draining or shedding");
  const auto readCount = [&](const char *key, std::uint32_t &to) {
    const auto it = root.find(key);
    if (it == root.end() || !it->is_number_unsigned() ||
        it->get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max())
      return false;
    to = it->get<std::uint32_t>();
    return true;
  };
  if (!readCount("slots", report.Slots) || !readCount("busy", report.Busy) ||
      !readCount("queued", report.Queued) ||
      !readCount("connections", report.Connections))
    return formatError("slots, busy, queued and connections must be whole "
                       "numbers of at most 32 bits");
  return report;
}

} // namespace auburnroute::protocol
