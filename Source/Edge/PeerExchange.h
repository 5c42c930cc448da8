#pragma once

#include "Common/Clock.h"
#include "Edge/AsyncUdpSocket.h"
#include "Edge/EventRecorder.h"
#include "Fleet/GossipMessage.h"
#include "Fleet/InitialViewSource.h"
#include "Fleet/LoadExchange.h"
#include "Fleet/OutlierDetector.h"
#include "Fleet/PeerTable.h"
#include "Fleet/SharedFailureDetector.h"
#include "Reactor/AsyncHttpClient.h"
#include "Routing/ServerHealthTracker.h"
#include "State/EdgeSettings.h"

#include <functional>
#include <vector>

namespace auburnroute::edge {

/// Gossip protocol: exchanges views, suspected backend servers, verdicts on
/// them and membership with other hosts. Each round and each change sends a
/// datagram to a few hosts. A host that lacks changes between its view and a
/// peer's fetches a snapshot over HTTP.
class PeerExchange {
public:
  static constexpr std::chrono::milliseconds RoundInterval{500};
  /// Number of hosts that receive a datagram in each round and, in large
  /// fleets, one more at each change. With three, a change reaches 13,000 hosts
  /// in nine rounds.
  static constexpr std::size_t FanOut = 3;
  /// Up to this many live peers, changes are sent to all of them.
  static constexpr std::size_t MaxBroadcastHosts = 10;
  /// Shortest time between two announcements. Bounds the traffic when many
  /// backend servers change at once.
  static constexpr std::chrono::milliseconds MinAnnounceInterval{100};
  /// Shortest time between two questions for the servers of unknown tags, which
  /// callers may invent: at most 200 bytes to FanOut hosts each time.
  static constexpr std::chrono::milliseconds MinTagInterval{200};
  /// Time between two datagrams with causes, and the number of hosts that
  /// receive each: at most 2.4 kB/s, half of the control traffic budget.
  static constexpr std::chrono::milliseconds CauseSendInterval{1000};
  static constexpr std::size_t CauseFanOut = 2;
  /// Limit of datagrams with causes that a stopping host sends without delay.
  static constexpr int MaxFinalCauseBatches = 8;
  /// Number of hosts that a starting host asks in turn for their causes, until
  /// one responds.
  static constexpr int MaxCauseFetchAttempts = 3;

  /// References must outlive the object. \p onWakeUp is called before messages
  /// are read and returns for how long they may have waited; \p onViewChanged
  /// is called after the view may have changed.
  PeerExchange(boost::asio::io_context &loop, transport::UdpSocket socket,
               common::Endpoint self, fleet::PeerTable &peers,
               fleet::FleetView &view, routing::ServerDirectory &directory,
               routing::ServerHealthTracker &health,
               fleet::SharedFailureDetector &detector,
               fleet::InitialViewSource &initialView,
               const common::Clock &clock, fleet::CauseHistory &history,
               EventLog &log, EdgeMetrics &metrics,
               std::function<std::chrono::milliseconds()> onWakeUp,
               std::function<void()> onViewChanged);

  /// Exchanges loads by \p loads from now on; it must outlive the object.
  void setLoadExchange(fleet::LoadExchange *loads) { Loads = loads; }
  /// Sets what detects outliers; nothing does if it is null. It must outlive
  /// the object.
  void setOutliers(fleet::OutlierDetector *outliers) { Outliers = outliers; }
  void start(const std::vector<common::Endpoint> &seeds, state::StartMode mode);
  void setSeeds(const std::vector<common::Endpoint> &seeds);
  /// Sends the messages that are due. Must be called at least every 100 ms.
  void poll();
  /// Sends the reports and verdicts that are due.
  void pollEvidence();
  /// Asks other hosts for the servers of unknown \p tags.
  void askForServers(const std::vector<std::uint32_t> &tags);
  /// Whether MinTagInterval has passed since askForServers().
  bool canAskForServers() const;
  /// Sends the latest changes of the view to other hosts now.
  void announce();
  /// Announces that this host leaves, and sends the causes not sent yet.
  void announceStop();
  /// When the last message of another host arrived.
  common::TimePoint lastMessageAt() const { return LastMessageAt; }
  /// Discards the datagrams in the socket's buffer. Used after the process was
  /// paused, when the ages in them are no longer correct.
  void discardBacklog();
  /// Called when a registry call fails. A host without a view then asks its
  /// seeds again and takes any view.
  void onRegistryFailure();
  /// The response body to GET /view?after=REVISION&version=VERSION&era=ERA,
  /// where \p query is the part after '?'.
  std::string snapshot(std::string_view query) const;

private:
  fleet::InitialViewSource::Mode startModeOf(state::StartMode mode,
                                             bool isSeed) const;
  void onReadable();
  /// Corrects a message that may have waited in the socket for \p waited.
  static void addWaitingTime(fleet::GossipMessage &message,
                             std::chrono::milliseconds waited);
  void onMessage(const fleet::GossipMessage &message, std::uint32_t from);
  void mergeHosts(const fleet::GossipMessage &message);
  void mergeSuspects(const fleet::GossipMessage &message);
  /// Sends changes of the view after revision \p since. \p withHosts adds a
  /// sample of the known hosts.
  void sendView(const std::vector<std::uint32_t> &addresses, bool wantsAnswer,
                std::uint64_t since, bool withHosts);
  /// Returns the number of bytes sent to all \p addresses together.
  std::size_t send(const fleet::GossipMessage &message,
                   const std::vector<std::uint32_t> &addresses);
  void sendEvidence();
  void sendLoads();
  /// Adds the loads that this host causes, if they fit the datagram.
  void addZoneLoads(fleet::GossipMessage &message);
  void
  sendEvidence(const std::vector<fleet::SharedFailureDetector::Outgoing> &list);
  /// Announces the view if it changed or became more current since the last
  /// announcement.
  void announceIfChanged();
  /// A pending GET /view.
  struct SnapshotFetch {
    std::uint32_t Address = 0;
    std::chrono::milliseconds Timeout{0};
    common::TimePoint StartedAt;
  };
  /// The sender of \p message has a view that its changes don't lead to.
  void onLaterView(const fleet::GossipMessage &message, std::uint32_t from);
  /// Fetches the first view of this host, if a peer has one.
  void fetchFirstView();
  /// Fetches what this host lacks, unless a fetch is pending.
  void fetchSnapshot(std::uint32_t address, std::chrono::milliseconds timeout);
  void onSnapshot(const SnapshotFetch &fetch,
                  const absl::StatusOr<common::HttpResponse> &result);
  void logFetch(const SnapshotFetch &fetch, bool isFirst,
                std::string_view outcome, std::chrono::milliseconds age);
  /// Sends the causes that are new or changed, at most one batch per
  /// CauseSendInterval.
  void sendCauses();
  /// Fetches the causes of the past hour from another host after the start.
  void fetchCauses();
  /// Answers a peer's question for servers by their tags.
  void nameServers(const std::vector<std::uint32_t> &tags, std::uint32_t to);
  void reportLostPeers();
  void logPeerChange(std::string_view change, const fleet::PeerInfo &peer);
  std::vector<fleet::ReportedSuspect>
  localSuspects(common::TimePoint now) const;

  boost::asio::io_context &Loop;
  AsyncUdpSocket Socket;
  common::Endpoint Self;
  fleet::PeerTable &Peers;
  fleet::FleetView &View;
  routing::ServerDirectory &Directory;
  routing::ServerHealthTracker &Health;
  fleet::SharedFailureDetector &Detector;
  fleet::LoadExchange *Loads = nullptr;
  fleet::OutlierDetector *Outliers = nullptr;
  fleet::InitialViewSource &InitialView;
  const common::Clock &Clock;
  fleet::CauseHistory &History;
  EventLog &Log;
  EdgeMetrics &Metrics;
  std::function<std::chrono::milliseconds()> OnWakeUp;
  std::function<void()> OnViewChanged;
  std::vector<std::uint32_t> Seeds;
  common::TimePoint NextRound;
  common::TimePoint NextTagQuestion;
  std::size_t RoundCount = 0;
  std::uint64_t AnnouncedChangeCount = 0;
  std::uint64_t AnnouncedRevision = 0; ///< In era AnnouncedEra.
  std::uint64_t AnnouncedEra = 0;
  common::TimePoint NextAnnounce;
  common::TimePoint StartedAt;
  common::TimePoint LastMessageAt;
  common::TimePoint AnnouncedFreshAt;
  bool IsFetchingSnapshot = false;
  std::unique_ptr<reactor::AsyncHttpClient> SnapshotClient;
  common::TimePoint NextCauseSend;
  int CauseFetchAttemptsLeft = MaxCauseFetchAttempts;
  std::unique_ptr<reactor::AsyncHttpClient> CauseClient;
};

} // namespace auburnroute::edge
