#include "Tool/LogArchive.h"

#include "Common/Files.h"

#include <algorithm>
#include <sstream>

namespace auburnroute::tool {

std::string LogLine::text(const char *name) const {
  const auto it = Fields.find(name);
  return it != Fields.end() && it->is_string() ? it->get<std::string>() : "";
}

bool LogLine::flag(const char *name) const {
  const auto it = Fields.find(name);
  return it != Fields.end() && it->is_boolean() && it->get<bool>();
}

std::int64_t LogLine::number(const char *name, std::int64_t fallback) const {
  const auto it = Fields.find(name);
  // A floating-point number may be out of range.
  return it != Fields.end() && it->is_number_integer() ? it->get<std::int64_t>()
                                                       : fallback;
}

absl::Status LogArchive::addFile(const std::string &name) {
  const auto text = common::readFile(name);
  if (!text.ok())
    return text.status();
  addText(*text, name);
  return absl::OkStatus();
}

void LogArchive::addText(std::string_view text, std::string_view source) {
  std::string host(source);
  std::istringstream in{std::string(text)};
  for (std::string row; std::getline(in, row);) {
    const auto brace = row.find('{');
    auto fields =
        brace == std::string::npos
            ? nlohmann::json()
            : nlohmann::json::parse(row.substr(brace), nullptr, false);
    if (!fields.is_object()) {
      UnparsedLines += !row.empty();
      continue;
    }
    LogLine line;
    line.Fields = std::move(fields);
    line.Event = line.text("event");
    line.TimeMs = line.number("time_ms");
    if (line.Event.empty() || line.TimeMs == 0) {
      ++UnparsedLines;
      continue;
    }
    if (line.Event == "start" && !line.text("host").empty())
      host = line.text("host");
    line.Host = host;
    std::istringstream words(row.substr(0, brace));
    for (std::string word; words >> word;)
      line.Host = word;
    Lines.push_back(std::move(line));
  }
  IsSorted = false;
}

const std::vector<LogLine> &LogArchive::lines() {
  if (!IsSorted)
    std::ranges::stable_sort(Lines, {}, &LogLine::TimeMs);
  IsSorted = true;
  return Lines;
}

} // namespace auburnroute::tool
