#include "Coordination/Distribution/SettingsHistory.h"

#include "Coordination/Distribution/MergePatch.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace auburnroute::distribution {

namespace {

constexpr std::size_t MaxPatches = 8;

// A JSON patch names single values but repeats what moves within arrays; a
// merge patch holds whole arrays.
std::string deltaOf(const nlohmann::json &from, const nlohmann::json &to) {
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
    keepText();
  Previous = std::move(Last);
  PreviousStamp = LastStamp;
  Last = std::move(document);
  LastStamp = stamp;
  Patches.clear();
}

void SettingsHistory::keepText() {
  Entries.push_back({PreviousStamp, Previous->dump()});
  Bytes += Entries.back().Canonical.size();
  while (!Entries.empty() && Bytes > MaxBytes) {
    Bytes -= Entries.front().Canonical.size();
    Entries.pop_front();
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
  return Patches.emplace_back(Patch{base, build(base)}).Text;
}

std::optional<std::string>
SettingsHistory::build(messages::SettingsStamp base) const {
  if (Last == nullptr)
    return std::nullopt;
  if (Previous != nullptr && base == PreviousStamp)
    return deltaOf(*Previous, *Last);
  const auto it =
      std::find_if(Entries.begin(), Entries.end(),
                   [&](const Entry &entry) { return entry.Stamp == base; });
  if (it == Entries.end())
    return std::nullopt;
  return deltaOf(nlohmann::json::parse(it->Canonical), *Last);
}

} // namespace auburnroute::distribution
