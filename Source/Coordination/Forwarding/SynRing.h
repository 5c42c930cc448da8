#pragma once

#include "Common/Clock.h"
#include "Coordination/Forwarding/FlowKey.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace auburnroute::forwarding {

/// Ring buffer of the SYNs that a traffic thread recently handed over, so that
/// they can be handed over again if the admission owner fails.
///
/// Memory is allocated once: Capacity entries of 192 bytes and an index, 400
/// KB. The oldest entries are overwritten.
class SynRing {
public:
  static constexpr std::size_t Capacity = 2048;
  /// The longest IPv4 and TCP headers (60 bytes each). A longer SYN, as one
  /// with data, is not kept; the caller's TCP repeats it.
  static constexpr std::size_t MaxSynBytes = 120;
  /// After this time, the caller's TCP has repeated the SYN itself (RFC 6298,
  /// 2.1).
  static constexpr std::chrono::seconds MaxAge{1};

  SynRing();

  /// Keeps \p syn, the packet of flow \p key that was handed over to \p owner.
  /// Replaces an earlier SYN of the flow.
  void add(common::TimePoint now, common::Endpoint owner, const FlowKey &key,
           std::span<const std::byte> syn);
  /// Marks the flow as placed: a backend server's SYN-ACK was seen.
  void onPlaced(const FlowKey &key);
  /// Removes the SYNs that were handed over to \p owner for \p service, the
  /// address of a listener, within MaxAge, and calls \p resend with each,
  /// oldest first. An owner places the SYNs of a listener in order of arrival,
  /// so SYNs before the last one that is known to be placed are left out.
  template <typename Resend>
  void take(common::TimePoint now, common::Endpoint owner,
            common::Endpoint service, Resend resend) {
    const auto matches = [&](const Entry &entry) {
      return entry.Owner == owner && entry.Key.Service == service &&
             now - entry.HandedOverAt < MaxAge;
    };
    for (auto n = firstUnplaced(matches); n != AddedCount; ++n) {
      auto &entry = Entries[n % Capacity];
      if (entry.State != EntryState::Pending || !matches(entry))
        continue;
      entry.State = EntryState::Free;
      resend(std::span<const std::byte>(entry.Bytes.data(), entry.Size));
    }
  }
  void clear();

private:
  enum class EntryState : std::uint8_t { Free, Pending, Placed };
  struct Entry {
    common::TimePoint HandedOverAt;
    FlowKey Key;
    common::Endpoint Owner;
    std::uint16_t Size = 0;
    EntryState State = EntryState::Free;
    std::array<std::byte, MaxSynBytes> Bytes{};
  };
  static_assert(sizeof(Entry) <= 192);
  static_assert(Capacity < UINT16_MAX);

  std::uint64_t oldest() const {
    return AddedCount < Capacity ? 0 : AddedCount - Capacity;
  }
  /// Position after the last placed entry that \p matches.
  template <typename Matches>
  std::uint64_t firstUnplaced(Matches matches) const {
    for (auto n = AddedCount; n != oldest(); --n)
      if (const auto &entry = Entries[(n - 1) % Capacity];
          entry.State == EntryState::Placed && matches(entry))
        return n;
    return oldest();
  }
  Entry *find(const FlowKey &key);
  std::uint16_t &indexSlot(const FlowKey &key);

  std::vector<Entry> Entries;
  /// Position of a flow's entry, by hash of the flow. On a collision, the older
  /// entry is no longer found by key, but it stays in the ring.
  std::vector<std::uint16_t> Index;
  std::uint64_t AddedCount = 0; ///< Entries that were ever added.
};

} // namespace auburnroute::forwarding
