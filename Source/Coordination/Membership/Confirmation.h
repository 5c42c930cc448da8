#pragma once

#include "Common/Clock.h"
#include "Coordination/Messages/SettingsStamp.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace auburnroute::membership {

/// Whether the settings and the view of this host are known to be current.
enum class ConfirmationState : std::uint8_t {
  Unconfirmed,    ///< Started or resumed; places no new flows.
  ByPeer,         ///< A peer answered after the start or resume.
  NoPeerAnswered, ///< No peer answered within the join timeout.
};

/// Text for a state, as used in reports and logs.
std::string_view toString(ConfirmationState state);

/// Decides when a host that started or resumed after a pause is up to date.
///
/// It is up to date when a peer has echoed a sequence sent after the start or
/// resume and the settings in force are at least those of the peers that
/// answered, or when the join timeout has passed. Without settings it never is.
class Confirmation {
public:
  explicit Confirmation(std::chrono::milliseconds joinTimeout)
      : JoinTimeout(joinTimeout) {}

  /// Returns to Unconfirmed. Only echoes of \p firstSequence or later count.
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
