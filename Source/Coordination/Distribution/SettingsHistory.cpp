#include "Coordination/Distribution/SettingsHistory.h"

#include "Coordination/Distribution/MergePatch.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace auburnroute::distribution {

namespace {

constexpr std::size_t MaxDeltas = 8;

// A JSON patch changes single values but repeats elements that move within an
// array; a merge patch replaces whole arrays. Returns the shorter one.
std::string makeDelta(const nlohmann::json &from, const nlohmann::json &to) {
  auto text = nlohmann::json::diff(from, to).dump();
  if (const auto merge = makeMergePatch(from, to)) {
    auto mergeText = merge->dump();
    if (mergeText.size() < text.size())
      return mergeText;
  }
  return text;
}

} // namespace

void SettingsHistory::add(messages::SettingsStamp stamp,
                          std::shared_ptr<const nlohmann::json> document) {
  if (Previous != nullptr)
    archivePrevious();
  Previous = std::move(Latest);
  PreviousStamp = LatestStamp;
  Latest = std::move(document);
  LatestStamp = stamp;
  Deltas.clear();
}

void SettingsHistory::archivePrevious() {
  Archive.push_back({PreviousStamp, Previous->dump()});
  ArchivedBytes += Archive.back().CanonicalText.size();
  while (!Archive.empty() && ArchivedBytes > MaxArchivedBytes) {
    ArchivedBytes -= Archive.front().CanonicalText.size();
    Archive.pop_front();
  }
}

std::optional<std::string>
SettingsHistory::deltaFrom(messages::SettingsStamp base) {
  const auto cached =
      std::find_if(Deltas.begin(), Deltas.end(),
                   [&](const Delta &delta) { return delta.Base == base; });
  if (cached != Deltas.end())
    return cached->Text;
  if (Deltas.size() >= MaxDeltas)
    Deltas.pop_front();
  return Deltas.emplace_back(Delta{base, buildDelta(base)}).Text;
}

std::optional<std::string>
SettingsHistory::buildDelta(messages::SettingsStamp base) const {
  if (Latest == nullptr)
    return std::nullopt;
  if (Previous != nullptr && base == PreviousStamp)
    return makeDelta(*Previous, *Latest);
  const auto entry =
      std::find_if(Archive.begin(), Archive.end(), [&](const Entry &archived) {
        return archived.Stamp == base;
      });
  if (entry == Archive.end())
    return std::nullopt;
  return makeDelta(nlohmann::json::parse(entry->CanonicalText), *Latest);
}

} // namespace auburnroute::distribution
