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
  auto &it = Entries[indexSlot(key)];
  return it.State == EntryState::Pending && it.Key == key ? &it : nullptr;
}

void SynRing::add(common::TimePoint now, common::Endpoint owner,
                  const FlowKey &key, std::span<const std::byte> syn) {
  if (syn.size() > MaxSynBytes)
    return;
  if (auto *earlier = find(key))
    earlier->State = EntryState::Free;
  const auto position = static_cast<std::uint16_t>(AddedCount++ % Capacity);
  auto &it = Entries[position];
  it.HandedOverAt = now;
  it.Key = key;
  it.Owner = owner;
  it.Size = static_cast<std::uint16_t>(syn.size());
  it.State = EntryState::Pending;
  std::copy(syn.begin(), syn.end(), it.Bytes.begin());
  indexSlot(key) = position;
}

void SynRing::onPlaced(const FlowKey &key) {
  if (auto *it = find(key))
    it->State = EntryState::Placed;
}

void SynRing::clear() {
  for (auto &it : Entries)
    it.State = EntryState::Free;
}

} // namespace auburnroute::forwarding
