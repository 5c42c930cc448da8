#include "Coordination/Membership/Confirmation.h"

#include <algorithm>

namespace auburnroute::membership {

std::string_view toString(ConfirmationState state) {
  switch (state) {
  case ConfirmationState::Unconfirmed:
    return "unconfirmed";
  case ConfirmationState::ByPeer:
    return "confirmed by a peer";
  case ConfirmationState::Alone:
    return "alone: no peer answered";
  }
  return "invalid";
}

void Confirmation::restart(common::TimePoint now, std::uint64_t firstSequence) {
  State = ConfirmationState::Unconfirmed;
  Since = now;
  FirstSequence = firstSequence;
  PeerAnswered = false;
  Highest = {};
}

void Confirmation::onEcho(std::uint64_t sequence,
                          messages::SettingsStamp settings) {
  if (sequence < FirstSequence)
    return;
  PeerAnswered = true;
  Highest = std::max(Highest, settings);
}

bool Confirmation::update(common::TimePoint now, messages::SettingsStamp own) {
  const auto state = next(now, own);
  const bool changed = state != State;
  State = state;
  return changed;
}

ConfirmationState Confirmation::next(common::TimePoint now,
                                     messages::SettingsStamp own) const {
  if (State == ConfirmationState::ByPeer || own.Revision == 0)
    return State;
  const bool timedOut = now - Since >= JoinTimeout;
  if (PeerAnswered && (timedOut || confirmed() || own >= Highest))
    return ConfirmationState::ByPeer;
  return timedOut ? ConfirmationState::Alone : State;
}

} // namespace auburnroute::membership
