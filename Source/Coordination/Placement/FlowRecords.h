#pragma once

#include "Common/Clock.h"
#include "Coordination/Forwarding/FlowKey.h"
#include "State/Settings.h"

#include "absl/container/flat_hash_map.h"

#include <array>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace auburnroute::placement {

/// A flow that was placed and whose end has not been seen.
struct PlacedFlow {
  forwarding::FlowKey Key;
  common::TimePoint PlacedAt;
  std::uint32_t BackendServer = 0;
  state::ListenerKind Kind = state::ListenerKind::Request;
  bool WasSynRepeated = false; ///< A retransmission of its SYN was seen.
};

/// The placed flows, indexed by key and, per backend server and kind, in order
/// of placement. At most MaxRecords; 80 bytes per flow including both indexes.
class FlowRecords {
public:
  /// Limit on records; the table takes 80 MB when full.
  static constexpr std::size_t MaxRecords = 900'000;
  /// As a new id in remap(): the backend server was removed.
  static constexpr std::uint32_t RemovedServer = UINT32_MAX;

  /// Sets the number of backend servers and renumbers them. \p newIds holds the
  /// new id for each old id, or RemovedServer, which removes its records.
  void remap(std::span<const std::uint32_t> newIds, std::size_t servers);

  bool isFull() const { return Index.size() >= MaxRecords; }
  std::size_t size() const { return Index.size(); }
  /// The record of \p key, or nullptr. Valid until the next add or remove.
  PlacedFlow *find(const forwarding::FlowKey &key);
  /// Adds a flow. Its key must be new, and the table must not be full.
  void add(const PlacedFlow &flow);
  /// Removes the flow, which must be recorded.
  void remove(const forwarding::FlowKey &key);

  /// Number of flows of this kind on \p server.
  std::uint32_t count(std::uint32_t server, state::ListenerKind kind) const;
  /// Number of those that were placed before \p time, at most \p limit.
  std::uint32_t countBefore(std::uint32_t server, state::ListenerKind kind,
                            common::TimePoint time, std::uint32_t limit) const;
  /// Number of those that were placed at \p time or later, at most \p limit.
  std::uint32_t countSince(std::uint32_t server, state::ListenerKind kind,
                           common::TimePoint time, std::uint32_t limit) const;
  /// Removes up to \p n of the oldest flows that were placed before \p time;
  /// returns the number removed.
  std::uint32_t removeOldest(std::uint32_t server, state::ListenerKind kind,
                             std::uint32_t n, common::TimePoint time);

private:
  static constexpr std::uint32_t None = UINT32_MAX;
  struct Node {
    PlacedFlow Flow;
    std::uint32_t Previous = None;
    std::uint32_t Next = None;
  };
  static_assert(sizeof(Node) <= 48);
  struct List {
    std::uint32_t First = None; ///< The oldest.
    std::uint32_t Last = None;
    std::uint32_t Count = 0;
  };

  List &listOf(const PlacedFlow &flow);
  const List &listOf(std::uint32_t server, state::ListenerKind kind) const;
  void append(std::uint32_t node);
  void unlink(std::uint32_t node);

  /// A deque, as a growing vector may reserve twice the memory in use.
  std::deque<Node> Nodes;
  std::uint32_t FirstFree = None; ///< Unused nodes, linked by Next.
  absl::flat_hash_map<forwarding::FlowKey, std::uint32_t> Index;
  std::vector<std::array<List, 2>> Lists; ///< By backend server and kind.
};

} // namespace auburnroute::placement
