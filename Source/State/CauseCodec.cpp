#include "State/CauseCodec.h"

#include "Common/EpochTime.h"
#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace auburnroute::state {

namespace {

using Json = nlohmann::json;

std::optional<Cause> causeOf(const std::string &name) {
  for (int i = 0; i < static_cast<int>(Cause::Count); ++i)
    if (toString(static_cast<Cause>(i)) == name)
      return static_cast<Cause>(i);
  return std::nullopt;
}

} // namespace

std::string encodeCauses(const std::string &host,
                         const std::vector<CauseEntry> &entries) {
  Json root{{"host", host}, {"entries", Json::array()}};
  for (const auto &it : entries)
    root["entries"].push_back(
        {{"origin", it.Key.Origin},
         {"incarnation", it.Key.Incarnation},
         {"minute", it.Key.Minute},
         {"cause", toString(it.Key.Cause)},
         {"service", it.Key.Service},
         {"revision", it.Key.Revision},
         {"subject", it.Key.Subject},
         {"count", it.Count},
         {"first_ms", common::toEpochMilliseconds(it.First)},
         {"last_ms", common::toEpochMilliseconds(it.Last)}});
  // A name of another writer may have invalid UTF-8, for which dump() throws.
  return root.dump(1, ' ', false, Json::error_handler_t::replace) + "\n";
}

absl::StatusOr<std::vector<CauseEntry>> decodeCauses(std::string_view text) {
  try {
    const auto root = Json::parse(text);
    std::vector<CauseEntry> entries;
    for (const auto &it : root.at("entries")) {
      const auto why = causeOf(it.at("cause").get<std::string>());
      if (!why)
        continue;
      CauseEntry entry;
      entry.Key = {
          it.at("origin"),  it.at("incarnation"), it.at("minute"), *why,
          it.at("service"), it.at("revision"),    it.at("subject")};
      entry.Count = it.at("count");
      if (!common::isValidEpochTime(it.at("first_ms")) ||
          !common::isValidEpochTime(it.at("last_ms")))
        return absl::InvalidArgumentError("causes: a time is out of range");
      entry.First = common::fromEpochMilliseconds(it.at("first_ms"));
      entry.Last = common::fromEpochMilliseconds(it.at("last_ms"));
      entries.push_back(std::move(entry));
    }
    return entries;
  } catch (const Json::exception &ex) {
    return absl::InvalidArgumentError(absl::StrCat("causes: ", ex.what()));
  }
}

} // namespace auburnroute::state
