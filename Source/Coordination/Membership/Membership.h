#pragma once

#include "Common/Clock.h"
#include "Coordination/Membership/Confirmation.h"
#include "Coordination/Membership/OwnerTable.h"
#include "Coordination/Membership/UpdateQueue.h"
#include "Coordination/Messages/HostList.h"
#include "Coordination/Messages/PeerMessage.h"
#include "State/HostTable.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::membership {

/// Who this host is.
struct HostIdentity {
  std::string Name;
  std::string Zone;
  state::HostAddresses Addresses;
  std::uint64_t Incarnation = 0; ///< Process start, ms since the epoch.
};

/// Times and bounds of membership; most come from the daemon settings.
struct MembershipOptions {
  std::chrono::milliseconds HeartbeatInterval{500};
  std::chrono::milliseconds SuspectAfter{1000};
  std::chrono::milliseconds DeadAfter{3000};
  std::chrono::milliseconds PauseLimit{200};
  std::chrono::milliseconds JoinTimeout{2000};
  /// Silence of a neighbour before it is asked for an answer. One lost
  /// heartbeat then does not make it suspect.
  std::chrono::milliseconds ProbeAfter{700};
  /// Least time between two rounds when there is news to spread.
  std::chrono::milliseconds EarlyInterval{100};
  /// From a doubt to the suspicion if the host does not answer. A live host
  /// answers within 150 ms: at a tick, they are 50 ms apart, but not within
  /// EarlyInterval of its last round. One that is silent for as long as the
  /// pause limit places nothing by itself when it resumes.
  std::chrono::milliseconds DoubtTimeout{200};
  /// Least time between two probes of a host for doubts.
  std::chrono::milliseconds DoubtInterval{1000};
  /// Dead hosts that the platform does not list are kept this long, so that
  /// late reports cannot bring them back.
  std::chrono::minutes ForgetAfter{10};
  std::size_t MaxUpdates = 32;         ///< News per heartbeat.
  std::size_t MaxViewUpdates = 16;     ///< Per heartbeat to a differing peer.
  std::size_t MaxJoinUpdates = 128;    ///< Per heartbeat to a joining peer.
  std::vector<common::Endpoint> Seeds; ///< Peer endpoints to join through.
};

/// A change of state of a host, for causes and logs.
struct HostTransition {
  std::string Host;
  std::uint64_t Incarnation = 0;
  state::HostState From = state::HostState::Joining;
  state::HostState To = state::HostState::Joining;
};

/// Counts since the start.
struct MembershipCounters {
  std::uint64_t HeartbeatsSent = 0;
  std::uint64_t HeartbeatsTaken = 0;
  std::uint64_t HeartbeatsIgnored = 0; ///< Other zone, own name, old, no room.
  std::uint64_t Probes = 0;
  std::uint64_t DoubtProbes = 0; ///< Those of them that followed a doubt.
  std::uint64_t Suspicions = 0;  ///< Raised here, not those reported.
  std::uint64_t Refutations = 0; ///< Suspicions of this host that it refuted.
  std::uint64_t Pauses = 0;      ///< Gaps longer than the pause limit.
};

/// Which hosts of the zone are alive, and which one admits for a service.
///
/// Pure decisions over (time, event); no socket, clock or thread. Messages of
/// all kinds are numbered by stamp(), which the daemon uses for its others.
class Membership {
public:
  Membership(common::TimePoint now, HostIdentity self,
             MembershipOptions options);

  /// The platform's list. Adds hosts and marks leaving ones; never revives a
  /// dead host, and a host that is not on it but sends heartbeats stays.
  void onHostList(common::TimePoint now, const messages::HostList &list);
  /// A heartbeat that PeerCodec has accepted. Other bodies are ignored.
  void onHeartbeat(common::TimePoint now, const messages::PeerMessage &message);
  /// Packets suggest that \p host does not admit new flows. Returns a probe of
  /// the host, which becomes suspect if it does not answer within DoubtTimeout.
  /// Only neighbours are probed, since a probe by each host of a large zone
  /// would exceed the byte budget of the answering one; the suspicion spreads
  /// from them.
  std::vector<messages::OutgoingMessage> onDoubt(common::TimePoint now,
                                                 std::string_view host);
  /// Call at least every 100 ms; a gap longer than the pause limit makes this
  /// host unconfirmed. Returns the heartbeats to send.
  std::vector<messages::OutgoingMessage> onTick(common::TimePoint now);
  /// The settings in force here changed, or are there for the first time.
  void onSettings(common::TimePoint now, messages::SettingsStamp stamp);
  /// The services that admissionOwner answers for.
  void setServices(const std::vector<std::string> &services);
  /// Announces that this host is stopping. Lasts for this incarnation.
  void announceLeaving(common::TimePoint now);

  /// Whether this host is up to date and may place new flows. False as well
  /// when onTick is overdue by more than the pause limit.
  bool isConfirmed(common::TimePoint now) const;
  ConfirmationState confirmation() const { return Confirmed.state(); }
  /// State of this host: Joining, Live or Leaving.
  state::HostState selfState() const;
  /// The live, confirmed host of the zone that admits for \p service; nothing
  /// if there is none or the service is unknown.
  std::optional<std::string> admissionOwner(std::string_view service) const;
  /// Increases whenever the owner of a service may have changed.
  std::uint64_t ownershipVersion() const { return OwnershipVersion; }
  /// The two hosts (or one, alone in the zone) that read the platform.
  const std::vector<std::string> &settingsReaders() const { return Readers; }
  bool isSettingsReader() const;
  /// The hosts that heartbeats go to, sorted.
  const std::vector<std::string> &neighbours() const { return Neighbours; }
  /// All hosts of the zone, this one included.
  const state::HostTable &hosts() const { return Hosts; }
  /// Peer endpoint of a host, if it is known.
  std::optional<common::Endpoint> peerEndpoint(std::string_view host) const;

  /// Numbers a message of this host.
  messages::PeerMessage stamp(messages::PeerBody body);
  /// State changes of other hosts since the last call, at most 1024.
  std::vector<HostTransition> takeTransitions();
  /// Hosts that were forgotten since the last call, for PeerCodec::forget.
  std::vector<std::string> takeForgotten();
  const MembershipCounters &counters() const { return Counters; }

private:
  /// What is kept of a host besides its entry in the table.
  struct Peer {
    std::uint64_t HeardIncarnation = 0;
    std::uint64_t HeardSequence = 0; ///< Last one heard directly, for echoes.
    common::TimePoint WatchedSince;  ///< Since when it is a neighbour.
    common::TimePoint LastProbe;
    common::TimePoint DoubtedAt;
    std::string ViewCursor;     ///< Last host told to it.
    bool Watched = false;       ///< Is a neighbour.
    bool KnowsMe = false;       ///< Has echoed this incarnation.
    bool AnswerDue = false;     ///< Asked for a heartbeat.
    bool Doubted = false;       ///< Has not answered the probe of a doubt.
    bool ViewDiffers = false;   ///< Its host table differs from this one.
    bool ListedLeaving = false; ///< Leaving on the last host list.
  };

  state::Host *addHost(common::TimePoint now, std::string_view name);
  bool takeNewIncarnation(state::Host &host, std::uint64_t incarnation);
  void onUpdate(common::TimePoint now, const messages::HostUpdate &update);
  void onUpdateOfSelf(common::TimePoint now,
                      const messages::HostUpdate &update);
  void onListedHost(common::TimePoint now, const messages::ListedHost &listed);
  void markLeaving(common::TimePoint now, state::Host &host);
  void setState(common::TimePoint now, state::Host &host,
                state::HostState state);
  void publish(const state::Host &host);

  void onWake(common::TimePoint now);
  void restartDoubts(common::TimePoint now);
  void expire(common::TimePoint now);
  void forgetDead(common::TimePoint now);
  void refresh(common::TimePoint now);
  void refreshNeighbours(common::TimePoint now);
  void refreshReaders();
  std::uint32_t viewDigest() const;

  void sendRound(common::TimePoint now,
                 std::vector<messages::OutgoingMessage> &out);
  void sendAnswers(common::TimePoint now,
                   std::vector<messages::OutgoingMessage> &out);
  void sendProbes(common::TimePoint now,
                  std::vector<messages::OutgoingMessage> &out);
  void sendToLost(std::vector<messages::OutgoingMessage> &out);
  void sendTo(state::Host &host, std::uint64_t sequence,
              const std::vector<messages::HostUpdate> &news, bool probe,
              std::vector<messages::OutgoingMessage> &out);
  std::vector<messages::HostUpdate> newsOfRound();
  void addView(Peer &peer, state::HostState peerState,
               messages::Heartbeat &heartbeat);
  messages::Heartbeat heartbeat() const;
  messages::Introduction introduction() const {
    return {Self.Zone, Self.Addresses};
  }

  HostIdentity Self;
  MembershipOptions Options;
  state::HostTable Hosts;
  std::map<std::string, Peer, std::less<>> Peers;
  std::vector<std::string> Neighbours;
  std::vector<std::string> Readers;
  OwnerTable Owners;
  UpdateQueue News;
  Confirmation Confirmed;
  messages::SettingsStamp Settings;
  MembershipCounters Counters;
  std::vector<HostTransition> Transitions;
  std::vector<std::string> Forgotten;
  common::TimePoint LastTick;
  common::TimePoint LastRound;
  common::TimePoint NextRound;
  common::TimePoint NextForget;
  std::uint64_t Sequence = 0;
  std::uint64_t OwnershipVersion = 0;
  std::uint64_t LostCursor = 0;
  std::uint32_t ViewDigest = 0;
  bool SelfLeaving = false;
  bool EarlyWanted = false;
  bool Changed = true; ///< Neighbours, owners and digest are out of date.
};

} // namespace auburnroute::membership
