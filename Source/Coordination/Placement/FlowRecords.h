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

/// A flow that was placed and has not been seen to end.
struct PlacedFlow {
  forwarding::FlowKey Key;
  common::TimePoint PlacedAt; ///< When it was placed.
  std::uint32_t BackendServer = 0;
  state::ListenerKind Kind = state::ListenerKind::Request;
  bool SynRepeated = false; ///< Its SYN came again.
};

/// The placed flows by key, and for each backend server and kind in the order
/// of placement. At most MaxRecords; 80 bytes each with both indexes.
class FlowRecords {
public:
  /// Bound of the table: 80 MB when full.
  static constexpr std::size_t MaxRecords = 900'000;
  /// Removes all records of a backend server (in remap).
  static constexpr std::uint32_t RemovedServer = UINT32_MAX;

  /// Sets the number of backend servers. \p newIds gives for each id so far
  /// the id from now on, or Gone.
  void remap(std::span<const std::uint32_t> newIds, std::size_t servers);

  bool full() const { return Index.size() >= MaxRecords; }
  std::size_t size() const { return Index.size(); }
  /// The record of \p key, or nullptr. Valid until the next add or remove.
  PlacedFlow *find(const forwarding::FlowKey &key);
  /// Adds a flow; its key must be new and the table not full.
  void add(const PlacedFlow &flow);
  /// Removes the flow; its key must be known.
  void remove(const forwarding::FlowKey &key);

  std::uint32_t count(std::uint32_t server, state::ListenerKind kind) const;
  /// How many of them were placed before \p time, counted up to \p limit.
  std::uint32_t countBefore(std::uint32_t server, state::ListenerKind kind,
                            common::TimePoint time, std::uint32_t limit) const;
  /// How many of them were placed at \p time or later, counted up to \p limit.
  std::uint32_t countSince(std::uint32_t server, state::ListenerKind kind,
                           common::TimePoint time, std::uint32_t limit) const;
  /// Removes the \p n oldest that were placed before \p time; returns how many
  /// there were.
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

  /// In blocks, as a vector that grows would hold twice what is used.
  std::deque<Node> Nodes;
  std::uint32_t FirstFree = None; ///< Unused nodes, linked by Next.
  absl::flat_hash_map<forwarding::FlowKey, std::uint32_t> Index;
  std::vector<std::array<List, 2>> Lists; ///< By backend server and kind.
};

} // namespace auburnroute::placement
