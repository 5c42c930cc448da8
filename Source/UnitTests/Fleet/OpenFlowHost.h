#pragma once

#include "Common/Clock.h"
#include "Fleet/GossipMessage.h"
#include "Fleet/InitialViewSource.h"
#include "Fleet/RegistryReader.h"
#include "Fleet/SharedFailureDetector.h"
#include "Routing/PacketRouter.h"
#include "Routing/ServerPlacement.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace auburnroute::unittests {

/// One process of the edge daemon without sockets and timers: what EdgeNode,
/// PacketForwarder and PeerExchange do with the classes of Routing and Fleet.
class OpenFlowHost final : private routing::RoutingObserver,
                           private fleet::ViewObserver,
                           private fleet::VerdictObserver {
public:
  /// Where the host sends to.
  class Network {
  public:
    virtual ~Network() = default;

    virtual void sendToServer(std::size_t host,
                              const routing::FlowPacket &packet,
                              const routing::ServerRegistration &server,
                              std::uint32_t tag) = 0;
    virtual void resetFlow(std::size_t host,
                           const routing::RefusedPacket &refused) = 0;
    virtual void
    sendToHosts(std::size_t host,
                std::shared_ptr<const fleet::GossipMessage> message,
                const std::vector<std::uint32_t> &to) = 0;
    virtual void fetchSnapshot(std::size_t host, std::uint32_t from,
                               std::chrono::milliseconds timeout) = 0;
    virtual void callRegistry(std::size_t host,
                              const fleet::RegistryCall &call) = 0;
    /// Empties the socket of \p host for callers' packets.
    virtual void discardPackets(std::size_t host) = 0;
    /// Empties the socket of \p host for messages of hosts.
    virtual void discardMessages(std::size_t host) = 0;
    /// \p host has found \p identity dead.
    virtual void onFoundDead(std::size_t host, std::uint64_t identity) = 0;
  };

  struct Settings {
    std::size_t Index = 0;
    std::uint32_t Address = 0;
    std::string Zone;
    std::vector<std::uint32_t> Seeds; ///< Without the own address.
    std::chrono::milliseconds Heartbeat{0};
    std::chrono::milliseconds ChangeBound{0};
    bool IsFirstStart = false;
    std::uint64_t Random = 1;
  };

  static constexpr std::chrono::milliseconds TickInterval{50};

  /// References must outlive the object.
  OpenFlowHost(Settings settings, const common::Clock &clock, Network &network);

  void start();
  /// EdgeNode::tick(), each TickInterval.
  void tick();
  /// What each handler of PacketForwarder and PeerExchange does first: it may
  /// empty the sockets.
  void onWakeUp();
  /// PacketForwarder::onReadable(). Only if isForwarding().
  void onPackets(std::span<const routing::FlowPacket> packets);
  /// PeerExchange::onReadable(), for one datagram.
  void onMessage(fleet::GossipMessage message);
  /// PeerExchange::onSnapshot(); unset if the fetch failed.
  void onSnapshot(const std::optional<fleet::AgedSnapshot> &snapshot);
  void onRegistryPage(const fleet::RegistryPage &page);
  void onRegistryFailure(fleet::RegistryFailure failure);
  void stop();

  bool isReady() const { return IsForwarding && !IsStopping; }
  bool isForwarding() const { return IsForwarding; }
  const fleet::FleetView &view() const { return View; }
  /// Whether the run of \p server that this host knows counts as dead.
  bool isDead(const routing::ServerRegistration &server) const;
  /// What the host answers to a fetch of its view.
  fleet::AgedSnapshot snapshotFor(const OpenFlowHost &other) const;

private:
  void onPlaced(const routing::FlowId &, routing::ServerId,
                std::uint32_t) override {}
  void onRefused(const routing::RefusedPacket &packet) override {
    Refused.push_back(packet);
  }
  void onSuspected(const routing::FlowId &, routing::ServerId,
                   routing::SuspicionReason,
                   std::chrono::milliseconds) override {}
  void onSuspicionCleared(routing::ServerId) override {}
  void onAnswered(const routing::FlowId &, routing::ServerId,
                  std::chrono::milliseconds,
                  std::chrono::milliseconds) override {}
  void onConfiguration(std::uint64_t) override {}
  void onServer(const routing::ServerRegistration &server,
                routing::DirectoryChange change) override;
  void onServerRefused(const routing::ServerRegistration &) override {}
  void onEvacuation(const routing::ZoneEvacuation &) override {}
  void onEvacuationRefused(const routing::ZoneEvacuation &) override {}
  void onEra(const fleet::EraChange &) override {}
  void onEraReconciled(const fleet::EraReconciliation &) override {}
  void onVerdict(const fleet::VerdictEvent &verdict) override;
  void onVerdictEnd(const fleet::VerdictEnd &) override {}
  void onRejected(fleet::EvidenceRejection, std::uint64_t,
                  std::uint32_t) override {}

  /// EdgeNode::detectStall().
  std::chrono::milliseconds detectStall();
  void updateRegistryRole(common::TimePoint now);
  void pollRegistry();
  void afterRegistryCall();
  void pollExchange();
  void announceIfChanged();
  void announce();
  void pollEvidence();
  void askForServers();
  void nameServers(const std::vector<std::uint32_t> &tags, std::uint32_t to);
  void sendEvidence();
  void sendView(const std::vector<std::uint32_t> &to, bool wantsAnswer,
                std::uint64_t since, bool withHosts);
  void send(const fleet::GossipMessage &message,
            const std::vector<std::uint32_t> &to);
  void fetchFirstView();
  void fetchSnapshot(std::uint32_t address, std::chrono::milliseconds timeout);
  /// Sends a reset for each refused packet that was not dropped.
  void sendResets();
  void onViewChanged();
  /// Up to \p n other hosts that are alive. PeerTable::choose() depends on the
  /// order of a hash table, which differs between two runs of a seed.
  std::vector<std::uint32_t> choosePeers(std::size_t n);
  void resetFlowsOfDeadServers();

  Settings Self;
  const common::Clock &Clock;
  Network &Links;
  std::mt19937_64 Random;
  routing::RouteTable Routes;
  routing::ServerDirectory Directory;
  routing::ServerHealthTracker Health;
  fleet::FleetView View;
  fleet::RegistryReader Reader;
  fleet::PeerTable Peers;
  fleet::SharedFailureDetector Detector;
  fleet::InitialViewSource InitialView;
  routing::ServerPlacement Placement;
  routing::PacketRouter Router;
  std::vector<routing::RefusedPacket> Refused;
  bool IsForwarding = false;
  bool IsStopping = false;
  bool IsFetchingSnapshot = false;
  common::TimePoint StartedAt;
  common::TimePoint LastWakeUp;
  common::TimePoint LastStallAt;
  std::chrono::milliseconds LastStall{0};
  common::TimePoint NextHousekeeping;
  common::TimePoint NextRound;
  common::TimePoint NextAnnounce;
  common::TimePoint NextTagQuestion;
  common::TimePoint SnapshotRequestedAt;
  std::chrono::milliseconds FetchTimeout{0};
  common::TimePoint LastMessageAt;
  common::TimePoint AnnouncedFreshAt;
  std::size_t RoundCount = 0;
  std::uint64_t AnnouncedChangeCount = 0;
  std::uint64_t AnnouncedRevision = 0;
};

} // namespace auburnroute::unittests
