#pragma once

#include "Common/Clock.h"
#include "Fleet/PeerTable.h"

#include "absl/container/flat_hash_map.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace auburnroute::fleet {

/// What a host knows of the other hosts when it starts.
enum class FleetStart : std::uint8_t {
  Alone,   ///< No others are configured.
  First,   ///< The whole fleet starts for the first time.
  Restart, ///< Others may run already.
};

/// Timeouts of a ZoneMembership.
struct ZoneMembershipLimits {
  /// A host that has heard of no other for this long is cut off. Hosts gossip
  /// each 500 ms.
  std::chrono::milliseconds ContactTimeout{1500};
  /// A host takes part at the earliest after this time in contact with others:
  /// by then they count it as a member, and a host that was cut off just before
  /// has used its last share.
  std::chrono::milliseconds MinJoinTime{3000};
  /// The same for a process that was started while others run. It covers the
  /// time in which two groups of hosts find each other through the seeds: each
  /// host contacts one of them every 4 s.
  std::chrono::milliseconds RestartJoinTime{30000};
  /// It waits further until no new member was heard of for this long, so that
  /// it knows nearly all of them.
  std::chrono::milliseconds JoinQuietTime{3000};
  /// It does not wait for longer, as where hosts are replaced all the time.
  std::chrono::milliseconds MaxJoinTime{60000};
  /// A host that announced its stop is no member after this time. It must
  /// exceed the second that a shared limit refers to.
  std::chrono::milliseconds LeaveDelay{2000};
  /// A silent host stays a member for this long: it may be cut off and alive.
  std::chrono::milliseconds LostHostMemory{600000};
  /// After a longer gap between two updates the process was stopped, and its
  /// knowledge is outdated.
  std::chrono::milliseconds MaxUpdateGap{1000};
};

/// The hosts of the own zone that may act on a shared limit.
///
/// What PeerTable takes for alive does not suffice for that: hosts that cannot
/// reach each other would each take over the shares of the others. The members
/// of a host that takes part are all hosts that may take part, and possibly
/// more: silent hosts stay members, and a new host takes part only once the
/// others know it.
class ZoneMembership {
public:
  /// \p peers must outlive the object. A host that has heard of no other does
  /// not take part unless \p start is Alone.
  ZoneMembership(const PeerTable &peers, FleetStart start,
                 ZoneMembershipLimits limits = {})
      : Peers(peers), ExpectsPeers(start != FleetStart::Alone), Limits(limits),
        JoinTime(start == FleetStart::Restart ? limits.RestartJoinTime
                                              : limits.MinJoinTime) {}

  /// Call at least each half of MaxUpdateGap.
  void update(common::TimePoint now);

  /// Whether this host takes part at \p now.
  bool takesPart(common::TimePoint now) const {
    return HasJoined && now - UpdatedAt <= Limits.MaxUpdateGap;
  }
  /// Addresses of the members without this host, in no particular order.
  const std::vector<std::uint32_t> &others() const { return Others; }
  /// Changes with each change of others(). Only compared for equality.
  std::uint64_t changeCount() const { return ChangeCount; }

private:
  struct Member {
    common::TimePoint HeardAt;
    std::optional<common::TimePoint> LeavingSince;
  };
  void addLiveHosts(common::TimePoint now);
  void removeFormerMembers(common::TimePoint now);

  const PeerTable &Peers;
  bool ExpectsPeers;
  ZoneMembershipLimits Limits;
  std::chrono::milliseconds JoinTime; ///< Minimum for the next time.
  absl::flat_hash_map<std::uint32_t, Member> Members;
  std::vector<std::uint32_t> Others;
  std::uint64_t ChangeCount = 0;
  common::TimePoint UpdatedAt;
  std::optional<common::TimePoint> InContactSince;
  common::TimePoint LastAddedAt;
  bool HasJoined = false;
};

} // namespace auburnroute::fleet
