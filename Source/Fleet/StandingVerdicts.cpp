#include "Fleet/StandingVerdicts.h"

#include <algorithm>

namespace auburnroute::fleet {

using common::TimePoint;
using routing::ServerId;
using std::chrono::milliseconds;

std::string_view toString(VerdictEndReason why) {
  switch (why) {
  case VerdictEndReason::Answer:
    return "answer";
  case VerdictEndReason::PeerAnswer:
    return "peer_answer";
  case VerdictEndReason::Time:
    return "time";
  case VerdictEndReason::ServerChanged:
    return "server_changed";
  }
  return "invalid";
}

void StandingVerdicts::onApplied(ServerId id, VerdictKind kind,
                                 std::uint32_t decidedBy, TimePoint now) {
  const auto &registration = Directory.at(id).Registration;
  const auto [it, isNew] = Verdicts.try_emplace(id);
  if (isNew || (kind == VerdictKind::Dead && it->second.Kind != kind))
    it->second = {kind, decidedBy, now, registration.Identity,
                  registration.StartTimeMs};
}

std::optional<VerdictEnd>
StandingVerdicts::endOf(ServerId id, const Verdict &it, TimePoint now) const {
  const auto endBy = [&](VerdictEndReason why, TimePoint at) {
    const auto duration = std::max(at - it.AppliedAt, TimePoint::duration(0));
    return VerdictEnd{.Server = id,
                      .Kind = it.Kind,
                      .Why = why,
                      .Duration =
                          std::chrono::duration_cast<milliseconds>(duration),
                      .Age = std::chrono::duration_cast<milliseconds>(now - at),
                      .DecidedBy = it.DecidedBy};
  };
  const auto &server = Directory.at(id);
  if (!server.IsOccupied || server.Registration.Identity != it.Identity ||
      server.Registration.StartTimeMs != it.StartTimeMs)
    return endBy(VerdictEndReason::ServerChanged, now);
  const auto &activity = Health.activity(id);
  // An answer from before the verdict would have refuted it.
  if (activity.LastAnswer >= it.AppliedAt)
    return endBy(VerdictEndReason::Answer, activity.LastAnswer);
  const bool isDeath = it.Kind == VerdictKind::Dead;
  if (isDeath ? Health.isDead(id, now) : Health.isSuspect(id, now))
    return std::nullopt;
  const auto until = isDeath ? activity.DeadUntil : activity.SuspectUntil;
  const bool isCleared = activity.Why == routing::SuspicionReason::None;
  if (!isCleared && until <= now)
    return endBy(VerdictEndReason::Time, until);
  return endBy(activity.PeerAnswerAt == TimePoint()
                   ? VerdictEndReason::ServerChanged
                   : VerdictEndReason::PeerAnswer,
               now);
}

std::optional<VerdictEnd> StandingVerdicts::takeEnded(ServerId id,
                                                      TimePoint now) {
  const auto it = Verdicts.find(id);
  if (it == Verdicts.end())
    return std::nullopt;
  auto end = endOf(id, it->second, now);
  if (end)
    Verdicts.erase(it);
  return end;
}

std::vector<VerdictEnd> StandingVerdicts::takeEnded(TimePoint now) {
  std::vector<VerdictEnd> ended;
  absl::erase_if(Verdicts, [&](const auto &entry) {
    const auto end = endOf(entry.first, entry.second, now);
    if (end)
      ended.push_back(*end);
    return end.has_value();
  });
  return ended;
}

} // namespace auburnroute::fleet
