#include "Coordination/Membership/Confirmation.h"

#include <algorithm>

namespace auburnroute::membership {

std::string_view toString(ConfirmationState state) {
  switch (state) {
  case ConfirmationState::Unconfirmed:
    return "unconfirmed";
  case ConfirmationState::ByPeer:
    return "confirmed by a peer";
  case ConfirmationState::NoPeerAnswered:
    return "alone: no peer answered";
  }
  return "invalid";
}

void Confirmation::restart(common::TimePoint now, std::uint64_t firstSequence) {
  State = ConfirmationState::Unconfirmed;
  RestartedAt = now;
  FirstSequence = firstSequence;
  HasPeerAnswered = false;
  HighestPeerSettings = {};
}

void Confirmation::onEcho(std::uint64_t sequence,
                          messages::SettingsStamp settings) {
  if (sequence < FirstSequence)
    return;
  HasPeerAnswered = true;
  HighestPeerSettings = std::max(HighestPeerSettings, settings);
}

bool Confirmation::update(common::TimePoint now, messages::SettingsStamp own) {
  const auto state = nextState(now, own);
  const bool hasChanges = state != State;
  State = state;
  return hasChanges;
}

ConfirmationState Confirmation::nextState(common::TimePoint now,
                                          messages::SettingsStamp own) const {
  if (State == ConfirmationState::ByPeer || own.Revision == 0)
    return State;
  const bool hasTimedOut = now - RestartedAt >= JoinTimeout;
  if (HasPeerAnswered &&
      (hasTimedOut || isConfirmed() || own >= HighestPeerSettings))
    return ConfirmationState::ByPeer;
  return hasTimedOut ? ConfirmationState::NoPeerAnswered : State;
}

} // namespace auburnroute::membership
