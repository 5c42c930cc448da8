#include "Coordination/Forwarding/SynRing.h"

#include <algorithm>

namespace auburnroute::forwarding {

namespace {

// Twice the capacity keeps collisions rare.
constexpr std::size_t IndexSize = 2 * SynRing::Capacity;

} // namespace

SynRing::SynRing() : Entries(Capacity), Index(IndexSize) {}

std::uint16_t &SynRing::indexSlot(const FlowKey &key) {
  return Index[key.hash(0) % IndexSize];
}

SynRing::Entry *SynRing::find(const FlowKey &key) {
  auto &entry = Entries[indexSlot(key)];
  return entry.State == EntryState::Pending && entry.Key == key ? &entry
                                                                : nullptr;
}

void SynRing::add(common::TimePoint now, common::Endpoint owner,
                  const FlowKey &key, std::span<const std::byte> syn) {
  if (syn.size() > MaxSynBytes)
    return;
  if (auto *earlier = find(key))
    earlier->State = EntryState::Free;
  const auto position = static_cast<std::uint16_t>(AddedCount++ % Capacity);
  auto &entry = Entries[position];
  entry.HandedOverAt = now;
  entry.Key = key;
  entry.Owner = owner;
  entry.Size = static_cast<std::uint16_t>(syn.size());
  entry.State = EntryState::Pending;
  std::copy(syn.begin(), syn.end(), entry.Bytes.begin());
  indexSlot(key) = position;
}

void SynRing::onPlaced(const FlowKey &key) {
  if (auto *entry = find(key))
    entry->State = EntryState::Placed;
}

void SynRing::clear() {
  for (auto &entry : Entries)
    entry.State = EntryState::Free;
}

} // namespace auburnroute::forwarding
