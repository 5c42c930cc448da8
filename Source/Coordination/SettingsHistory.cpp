#include "Coordination/SettingsHistory.h"

#include "Coordination/MergePatch.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace auburnroute::coordination {

namespace {

constexpr std::size_t MaxPatches = 8;

} // namespace

void SettingsHistory::add(SettingsStamp stamp,
                          std::shared_ptr<const nlohmann::json> document,
                          std::string canonical) {
  Bytes += canonical.size();
  Entries.push_back({stamp, std::move(canonical)});
  while (Entries.size() > 1 && Bytes > MaxBytes) {
    Bytes -= Entries.front().Canonical.size();
    Entries.pop_front();
  }
  Last = std::move(document);
  Patches.clear();
}

std::optional<std::string> SettingsHistory::patchFrom(SettingsStamp base) {
  const auto it =
      std::find_if(Patches.begin(), Patches.end(),
                   [&](const Patch &patch) { return patch.Base == base; });
  if (it != Patches.end())
    return it->Text;
  if (Patches.size() >= MaxPatches)
    Patches.pop_front();
  return Patches.emplace_back(Patch{base, build(base)}).Text;
}

std::optional<std::string> SettingsHistory::build(SettingsStamp base) const {
  const auto it =
      std::find_if(Entries.begin(), Entries.end(),
                   [&](const Entry &entry) { return entry.Stamp == base; });
  if (it == Entries.end() || Last == nullptr)
    return std::nullopt;
  const auto from = nlohmann::json::parse(it->Canonical);
  // A JSON patch names single values but repeats what moves within arrays; a
  // merge patch holds whole arrays.
  auto text = nlohmann::json::diff(from, *Last).dump();
  if (const auto merge = makeMergePatch(from, *Last)) {
    auto other = merge->dump();
    if (other.size() < text.size())
      return other;
  }
  return text;
}

} // namespace auburnroute::coordination
