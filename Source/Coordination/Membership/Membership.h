#pragma once

#include "Common/Clock.h"
#include "Coordination/Membership/Confirmation.h"
#include "Coordination/Membership/HeartbeatSender.h"
#include "Coordination/Membership/MembershipCounters.h"
#include "Coordination/Membership/MembershipOptions.h"
#include "Coordination/Membership/NeighbourSet.h"
#include "Coordination/Membership/OwnerTable.h"
#include "Coordination/Messages/HostList.h"
#include "Coordination/Messages/PeerMessage.h"
#include "State/HostTable.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnroute::membership {

/// A state change of a host, for causes and logs.
struct HostTransition {
  std::string Host;
  std::uint64_t Incarnation = 0;
  state::HostState From = state::HostState::Joining;
  state::HostState To = state::HostState::Joining;
};

/// Tracks which hosts of the zone are alive and which one is the admission
/// owner of each service.
///
/// Deterministic over (time, event): uses no socket, clock or thread. Messages
/// of all kinds are numbered by makeMessage(); the daemon uses it for messages
/// other than heartbeats.
class Membership {
public:
  Membership(common::TimePoint now, HostIdentity self,
             MembershipOptions options);

  /// Merges the platform's host list. Adds hosts and marks leaving ones. Does
  /// not revive dead hosts, and keeps hosts that are not listed but send
  /// heartbeats.
  void onHostList(common::TimePoint now, const messages::HostList &list);
  /// Handles a heartbeat that PeerCodec has accepted. Other bodies are ignored.
  void onHeartbeat(common::TimePoint now, const messages::PeerMessage &message);
  /// Requests an on-demand probe of \p host, which does not seem to admit
  /// flows. Returns the probe to send, if one is due; the host becomes suspect
  /// if it does not answer within OnDemandProbeTimeout. Only neighbours are
  /// probed, since a probe by each host of a large zone would exceed the byte
  /// budget of the answering host; the neighbours spread the suspicion.
  std::vector<messages::OutgoingMessage> requestProbe(common::TimePoint now,
                                                      std::string_view host);
  /// Advances time; call at least every 100 ms. A gap longer than the pause
  /// limit makes this host unconfirmed. Returns the heartbeats to send.
  std::vector<messages::OutgoingMessage> onTick(common::TimePoint now);
  /// Sets the stamp of the settings in force on this host.
  void onSettings(common::TimePoint now, messages::SettingsStamp stamp);
  /// Sets the services for which admissionOwner() is computed.
  void setServices(const std::vector<std::string> &services);
  /// Announces that this host is leaving. Cannot be undone for this
  /// incarnation.
  void announceLeaving(common::TimePoint now);

  /// Whether this host is up to date and may place new flows. Also false when
  /// onTick is overdue by more than the pause limit.
  bool isConfirmed(common::TimePoint now) const {
    return SelfConfirmation.isConfirmed() &&
           now - LastTick <= Options.PauseLimit;
  }
  ConfirmationState confirmation() const { return SelfConfirmation.state(); }
  /// State of this host: Joining, Live or Leaving.
  state::HostState selfState() const;
  /// The live, confirmed host of the zone that admits flows of \p service;
  /// nothing if there is none or the service is unknown.
  std::optional<std::string> admissionOwner(std::string_view service) const;
  /// Increases whenever the owner of a service may have changed.
  std::uint64_t ownershipVersion() const { return OwnershipVersion; }
  /// The two hosts (or one, alone in the zone) that read settings from the
  /// platform.
  const std::vector<std::string> &settingsReaders() const { return Readers; }
  bool isSettingsReader() const;
  /// The hosts that heartbeats go to, sorted.
  const std::vector<std::string> &neighbours() const {
    return Neighbours.names();
  }
  /// All hosts of the zone, this one included.
  const state::HostTable &hosts() const { return Hosts; }
  /// Peer endpoint of a host, if it is known.
  std::optional<common::Endpoint> peerEndpoint(std::string_view host) const;

  /// Wraps \p body in a message of this host with the next sequence number.
  messages::PeerMessage makeMessage(messages::PeerBody body);
  /// State changes of other hosts since the last call, at most 1024.
  std::vector<HostTransition> takeTransitions() {
    return std::exchange(Transitions, {});
  }
  /// Dead hosts that were removed since the last call, for PeerCodec::forget.
  std::vector<std::string> takeForgotten() {
    return std::exchange(Forgotten, {});
  }
  const MembershipCounters &counters() const { return Counters; }

private:
  state::Host *addHost(common::TimePoint now, std::string_view name);
  bool advanceIncarnation(state::Host &host, std::uint64_t incarnation);
  void onUpdate(common::TimePoint now, const messages::HostUpdate &update);
  void onUpdateOfSelf(common::TimePoint now,
                      const messages::HostUpdate &update);
  void onListedHost(common::TimePoint now, const messages::ListedHost &listed);
  void markLeaving(common::TimePoint now, state::Host &host);
  void setState(common::TimePoint now, state::Host &host,
                state::HostState state);
  void queueUpdate(const state::Host &host);

  void onResume(common::TimePoint now);
  void expireSilentHosts(common::TimePoint now);
  void forgetDead(common::TimePoint now);
  void refresh(common::TimePoint now);

  messages::Heartbeat heartbeat() const;
  HeartbeatSender::Context senderContext();

  HostIdentity Self;
  MembershipOptions Options;
  state::HostTable Hosts;
  PeerRecords Peers;
  NeighbourSet Neighbours;
  std::vector<std::string> Readers;
  OwnerTable Owners;
  Confirmation SelfConfirmation;
  HeartbeatSender Sender;
  messages::SettingsStamp Settings;
  MembershipCounters Counters;
  std::vector<HostTransition> Transitions;
  std::vector<std::string> Forgotten;
  common::TimePoint LastTick;
  common::TimePoint NextForget;
  std::uint64_t OwnershipVersion = 0;
  std::uint32_t ViewDigest = 0;
  bool IsSelfLeaving = false;
  bool NeedsRefresh = true; ///< Neighbours, owners and digest are out of date.
};

} // namespace auburnroute::membership
