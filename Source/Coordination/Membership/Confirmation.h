#pragma once

#include "Common/Clock.h"
#include "Coordination/Messages/SettingsStamp.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace auburnroute::membership {

/// Whether this host knows that it is up to date.
enum class ConfirmationState : std::uint8_t {
  Unconfirmed,    ///< Started or woke up; places no new flows.
  ByPeer,         ///< A peer answered after the start or wake-up.
  NoPeerAnswered, ///< No peer answered within the join timeout.
};

/// Words for a state, as in reports and logs.
std::string_view toString(ConfirmationState state);

/// Decides when a host that started or resumed after a pause is up to date.
///
/// It is when a peer has echoed a sequence sent after the start or wake-up and
/// the settings in force are at least those of the peers that answered, or
/// when the join timeout has passed. It never is without any settings.
class Confirmation {
public:
  explicit Confirmation(std::chrono::milliseconds joinTimeout)
      : JoinTimeout(joinTimeout) {}

  /// Starts over; only echoes of \p firstSequence or later count.
  void restart(common::TimePoint now, std::uint64_t firstSequence);
  /// A peer echoed \p sequence and has \p settings in force.
  void onEcho(std::uint64_t sequence, messages::SettingsStamp settings);
  /// Returns whether the state changed. \p own are the settings in force here.
  bool update(common::TimePoint now, messages::SettingsStamp own);

  ConfirmationState state() const { return State; }
  bool isConfirmed() const { return State != ConfirmationState::Unconfirmed; }

private:
  ConfirmationState nextState(common::TimePoint now,
                              messages::SettingsStamp own) const;

  std::chrono::milliseconds JoinTimeout;
  ConfirmationState State = ConfirmationState::Unconfirmed;
  common::TimePoint RestartedAt;
  std::uint64_t FirstSequence = 0;
  bool HasPeerAnswered = false;
  messages::SettingsStamp HighestPeerSettings; ///< Of the peers that answered.
};

} // namespace auburnroute::membership
