#pragma once

#include "Coordination/Forwarding/FlowKey.h"
#include "Coordination/Forwarding/HashPlacement.h"
#include "State/ServiceTable.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnroute::bench {

/// A settings revision of the only service.
struct Revision {
  std::shared_ptr<const state::ServiceTable> Table;
  std::vector<state::BackendServerEntry> Active; ///< Without draining servers.

  std::uint16_t choose(std::uint64_t flowHash) const {
    const auto *it = forwarding::HashPlacement::choose(Active, flowHash);
    return it == nullptr ? 0 : it->Number;
  }
};
using RevisionPtr = std::shared_ptr<const Revision>;

/// A flow with the state that its endpoints keep.
struct Flow {
  forwarding::FlowKey Key;
  std::uint16_t Server = 0; ///< Number of the flow's backend server.
  std::uint32_t Echo = 0;   ///< Last timestamp that the caller received.
  std::uint64_t hash() const { return Key.hash(7321); }
};

/// Where a packet is forwarded. Server 0 means that the packet is lost and that
/// TCP retransmits it.
struct Decision {
  std::uint16_t Server = 0;
  std::uint8_t ExtraHops = 0; ///< Number of hosts passed beyond the first.
};

/// A mechanism with which any host finds the backend server of a flow's
/// packets.
class PlacementCandidate {
public:
  /// Size of a flow entry in a control message: key, server and operation.
  static constexpr std::size_t EntryBytes = 16;
  /// Overhead of a control message: UDP and IPv4 headers, sequence number and
  /// authentication code.
  static constexpr std::size_t MessageBytes = 60;

  virtual ~PlacementCandidate() = default;

  virtual std::string_view name() const = 0;
  /// Adds a host that has \p revision in force. Its members follow by
  /// setMembers().
  virtual void addHost(RevisionPtr revision) = 0;
  virtual void killHost(std::size_t host) = 0;
  virtual void setRevision(std::size_t host, RevisionPtr revision) = 0;
  /// Replaces the hosts that \p host considers live.
  virtual void setMembers(std::size_t host,
                          std::vector<std::size_t> members) = 0;
  virtual Decision onSyn(std::size_t host, const Flow &flow) = 0;
  /// Forwards the SYN|ACK through \p host. Returns false if it is lost.
  virtual bool onSynAck(std::size_t, Flow &) { return true; }
  virtual Decision onPacket(std::size_t host, const Flow &flow) = 0;
  /// Forwards the server's FIN through \p host.
  virtual Decision onFinish(std::size_t host, const Flow &flow) = 0;
  /// Delivers the control messages that were queued in the last 10 ms.
  virtual void deliverControlMessages() {}
  /// Returns the memory of the flow tables of all hosts in bytes.
  virtual std::size_t memoryBytes() const = 0;

  std::uint64_t ControlBytes = 0;

protected:
  /// Returns the member with the highest rendezvous hash score.
  static std::size_t
  highestRankedMember(std::uint64_t hash,
                      const std::vector<std::size_t> &members) {
    std::size_t first = members[0];
    std::uint64_t firstScore = 0;
    for (const auto it : members) {
      auto x = hash + (it + 1) * 0x9E3779B97F4A7C15;
      x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9;
      x = (x ^ (x >> 27)) * 0x94D049BB133111EB;
      x ^= x >> 31;
      if (x >= firstScore) {
        first = it;
        firstScore = x;
      }
    }
    return first;
  }

  /// Returns the size in bytes of an absl::flat_hash_map, which has one control
  /// byte per slot.
  template <typename Map> static std::size_t allocatedBytes(const Map &map) {
    return map.capacity() * (sizeof(typename Map::value_type) + 1);
  }
};

} // namespace auburnroute::bench
