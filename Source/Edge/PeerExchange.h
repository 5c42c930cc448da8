#pragma once

#include "Common/Clock.h"
#include "Edge/EventRecorder.h"
#include "Edge/ReadableSocket.h"
#include "Fleet/GossipMessage.h"
#include "Fleet/PeerTable.h"
#include "Reactor/AsyncHttpClient.h"
#include "Routing/ServerHealthTracker.h"

#include <functional>
#include <vector>

namespace auburnroute::edge {

/// Exchanges views, suspicions and membership with other hosts: a datagram to
/// a few of them each round and at each change, and a snapshot over HTTP where
/// changes do not lead from one view to the other.
class PeerExchange {
public:
  static constexpr std::chrono::milliseconds Round{500};
  /// Hosts that get a datagram in each round and at each change. With three
  /// of them news reaches 13,000 hosts in nine rounds.
  static constexpr std::size_t FanOut = 3;
  /// Fleets up to this size are told of changes directly.
  static constexpr std::size_t SmallFleet = 10;
  /// Shortest time between two announcements, which bounds their bytes when
  /// many servers change at once.
  static constexpr std::chrono::milliseconds AnnouncePause{100};
  /// Pause between two datagrams with causes, and how many hosts get each: at
  /// most 2.4 kB a second, half of the control budget.
  static constexpr std::chrono::milliseconds CausePause{1000};
  static constexpr std::size_t CauseCopies = 2;
  /// Datagrams with causes that a stopping host sends at once.
  static constexpr int LastCauseBatches = 8;
  /// Hosts that a starting host asks for their causes until one answers.
  static constexpr int CauseFetches = 3;
  /// A host without a view that hears of one fetches it only after this time:
  /// its own list is under way until then.
  static constexpr std::chrono::milliseconds OwnListTime{400};

  /// References must outlive the object. \p onNews is called after the view
  /// may have changed.
  PeerExchange(boost::asio::io_context &loop, transport::UdpSocket socket,
               common::Endpoint self, fleet::PeerTable &peers,
               fleet::FleetView &view, routing::ServerDirectory &directory,
               routing::ServerHealthTracker &health, const common::Clock &clock,
               fleet::CauseHistory &history, EventLog &log,
               EdgeMetrics &metrics, std::function<void()> onNews);

  void start(const std::vector<common::Endpoint> &seeds);
  void setSeeds(const std::vector<common::Endpoint> &seeds);
  /// Sends what is due; call every 100 ms or more often.
  void poll();
  /// Tells other hosts at once, as of a change.
  void announce();
  /// Tells other hosts that this one leaves, and gives them its last causes.
  void announceStop();
  /// Drops what waits in the socket, as after a pause: its ages are wrong.
  void discardBacklog();
  /// The registry did not answer: a host without a view turns to its peers.
  void onRegistryFailure();
  /// The answer to GET /view?after=REVISION&version=VERSION.
  std::string snapshot(std::string_view query) const;

private:
  void onReadable();
  void onMessage(const fleet::GossipMessage &message, std::uint32_t from);
  void learnHosts(const fleet::GossipMessage &message);
  void learnSuspects(const fleet::GossipMessage &message);
  /// Sends the changes after revision \p since, with news of hosts in a round.
  void sendTo(const std::vector<std::uint32_t> &addresses, bool wantsAnswer,
              std::uint64_t since, bool withHosts);
  void send(const fleet::GossipMessage &message,
            const std::vector<std::uint32_t> &addresses);
  /// Tells other hosts of changes, or that the view is more current than it
  /// was when they were told last.
  void relay();
  void fetchSnapshot(std::uint32_t address);
  /// Sends copies of the causes that are new.
  void shareCauses();
  /// After the start: takes over the causes of the hour from another host.
  void fetchCauses();
  void reportLost();
  void logPeer(std::string_view change, const fleet::PeerInfo &peer);
  std::vector<fleet::ReportedSuspect> suspects(common::TimePoint now) const;

  boost::asio::io_context &Loop;
  ReadableSocket Socket;
  common::Endpoint Self;
  fleet::PeerTable &Peers;
  fleet::FleetView &View;
  routing::ServerDirectory &Directory;
  routing::ServerHealthTracker &Health;
  const common::Clock &Clock;
  fleet::CauseHistory &History;
  EventLog &Log;
  EdgeMetrics &Metrics;
  std::function<void()> OnNews;
  std::vector<std::uint32_t> Seeds;
  common::TimePoint NextRound;
  std::size_t SeedCursor = 0;
  std::uint64_t AnnouncedChange = 0;
  std::uint64_t AnnouncedRevision = 0;
  common::TimePoint NextAnnounce;
  common::TimePoint StartedAt;
  common::TimePoint RelayedFreshAt;
  bool Fetching = false;
  std::unique_ptr<reactor::AsyncHttpClient> Fetcher;
  common::TimePoint NextCauses;
  int CauseFetchesLeft = CauseFetches;
  std::unique_ptr<reactor::AsyncHttpClient> CauseFetcher;
};

} // namespace auburnroute::edge
