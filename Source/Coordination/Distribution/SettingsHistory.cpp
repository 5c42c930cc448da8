#include "Coordination/Distribution/SettingsHistory.h"

#include "Coordination/Distribution/MergePatch.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace auburnroute::distribution {

namespace {

constexpr std::size_t MaxPatches = 8;

// A JSON patch changes single values but repeats elements that move within an
// array; a merge patch replaces whole arrays.
std::string makeDelta(const nlohmann::json &from, const nlohmann::json &to) {
  auto text = nlohmann::json::diff(from, to).dump();
  if (const auto merge = makeMergePatch(from, to)) {
    auto other = merge->dump();
    if (other.size() < text.size())
      return other;
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
  Patches.clear();
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
SettingsHistory::patchFrom(messages::SettingsStamp base) {
  const auto it =
      std::find_if(Patches.begin(), Patches.end(),
                   [&](const Patch &patch) { return patch.Base == base; });
  if (it != Patches.end())
    return it->Text;
  if (Patches.size() >= MaxPatches)
    Patches.pop_front();
  return Patches.emplace_back(Patch{base, buildPatch(base)}).Text;
}

std::optional<std::string>
SettingsHistory::buildPatch(messages::SettingsStamp base) const {
  if (Latest == nullptr)
    return std::nullopt;
  if (Previous != nullptr && base == PreviousStamp)
    return makeDelta(*Previous, *Latest);
  const auto it =
      std::find_if(Archive.begin(), Archive.end(),
                   [&](const Entry &entry) { return entry.Stamp == base; });
  if (it == Archive.end())
    return std::nullopt;
  return makeDelta(nlohmann::json::parse(it->CanonicalText), *Latest);
}

} // namespace auburnroute::distribution
