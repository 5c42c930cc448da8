#include "Fleet/ZoneMembership.h"

#include <utility>

namespace auburnroute::fleet {

using common::TimePoint;

void ZoneMembership::update(TimePoint now) {
  const auto gap = now - std::exchange(UpdatedAt, now);
  const bool hasContact = now - Peers.lastHeardAt() <= Limits.ContactTimeout;
  ExpectsPeers |= hasContact;
  const bool isAlone = ExpectsPeers && !hasContact;
  if (gap > Limits.MaxUpdateGap || isAlone || Peers.self().IsLeaving) {
    InContactSince.reset();
    HasJoined = false;
  }
  // Without contact nothing is heard of members that live, so that this time
  // does not count.
  if (gap > Limits.MaxUpdateGap || isAlone)
    for (auto &[address, member] : Members)
      member.HeardAt += gap;
  addLiveHosts(now);
  removeFormerMembers(now);
  if (isAlone || Peers.self().IsLeaving)
    return;
  if (!InContactSince)
    InContactSince = now;
  const auto joining = now - *InContactSince;
  HasJoined |=
      joining >= Limits.MaxJoinTime ||
      (joining >= JoinTime && now - LastAddedAt >= Limits.JoinQuietTime);
  // The members stay known from now on.
  if (HasJoined)
    JoinTime = Limits.MinJoinTime;
}

void ZoneMembership::addLiveHosts(TimePoint now) {
  for (const auto address : Peers.hostsInZone(now)) {
    if (address == Peers.self().Address)
      continue;
    const auto [it, added] = Members.try_emplace(address);
    it->second = {now, std::nullopt};
    if (!added)
      continue;
    Others.push_back(address);
    LastAddedAt = now;
    ++ChangeCount;
  }
}

void ZoneMembership::removeFormerMembers(TimePoint now) {
  for (const auto address : Peers.leavingInZone())
    if (const auto it = Members.find(address);
        it != Members.end() && !it->second.LeavingSince)
      it->second.LeavingSince = now;
  const auto isFormer = [&](const Member &member) {
    return now - member.HeardAt > Limits.LostHostMemory ||
           (member.LeavingSince &&
            now - *member.LeavingSince >= Limits.LeaveDelay);
  };
  if (std::erase_if(Others, [&](std::uint32_t address) {
        return isFormer(Members.at(address));
      }) == 0)
    return;
  ++ChangeCount;
  absl::erase_if(Members, [&](const auto &it) { return isFormer(it.second); });
}

} // namespace auburnroute::fleet
