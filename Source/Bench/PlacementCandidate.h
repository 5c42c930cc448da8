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

/// One settings revision of the only service.
struct Revision {
  std::shared_ptr<const state::ServiceTable> Table;
  std::vector<state::BackendServerEntry> Active; ///< Without draining servers.

  std::uint16_t choose(std::uint64_t flowHash) const {
    const auto *it = forwarding::HashPlacement::choose(Active, flowHash);
    return it == nullptr ? 0 : it->Number;
  }
};
using RevisionPtr = std::shared_ptr<const Revision>;

/// A flow with the state that its endpoints hold.
struct Flow {
  forwarding::FlowKey Key;
  std::uint16_t Server = 0; ///< Number of the backend server that has it.
  std::uint32_t Echo = 0;   ///< Last timestamp that the caller got.
  std::uint64_t hash() const { return Key.hash(7321); }
};

/// What happens to a packet. Server 0: it is lost and TCP repeats it.
struct Decision {
  std::uint16_t Server = 0;
  std::uint8_t ExtraHops = 0; ///< Passes from host to host.
};

/// A way to find the backend server of a flow's packets on any host.
class PlacementCandidate {
public:
  /// Bytes of one flow entry in a control message: key, server, operation.
  static constexpr std::size_t EntryBytes = 16;
  /// UDP, IPv4, sequence and authentication of one control message.
  static constexpr std::size_t MessageBytes = 60;

  virtual ~PlacementCandidate() = default;

  virtual std::string_view name() const = 0;
  /// Adds a host that knows \p revision and all \p members.
  virtual void addHost(RevisionPtr revision) = 0;
  virtual void killHost(std::size_t host) = 0;
  virtual void setRevision(std::size_t host, RevisionPtr revision) = 0;
  /// \p host now takes \p members for the live hosts.
  virtual void setMembers(std::size_t host,
                          std::vector<std::size_t> members) = 0;
  virtual Decision onSyn(std::size_t host, const Flow &flow) = 0;
  /// The SYN|ACK passes \p host. Returns false if it is lost.
  virtual bool onSynAck(std::size_t, Flow &) { return true; }
  virtual Decision onPacket(std::size_t host, const Flow &flow) = 0;
  /// The server's FIN passes \p host.
  virtual Decision onFinish(std::size_t host, const Flow &flow) = 0;
  /// Delivers the control messages of the last 10 ms.
  virtual void deliverControlMessages() {}
  /// Bytes that all hosts together hold for flows.
  virtual std::size_t memoryBytes() const = 0;

  std::uint64_t ControlBytes = 0;

protected:
  /// The highest of \p members by rendezvous hash.
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

  /// Size of an absl::flat_hash_map with one control byte per slot.
  template <typename Map> static std::size_t allocatedBytes(const Map &map) {
    return map.capacity() * (sizeof(typename Map::value_type) + 1);
  }
};

} // namespace auburnroute::bench
