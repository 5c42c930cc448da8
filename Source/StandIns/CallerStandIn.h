#pragma once

#include "StandIns/CallerLog.h"
#include "StandIns/LineBuffer.h"
#include "StandIns/TcpEndpoint.h"
#include "State/Settings.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace auburnroute::standins {

/// Addresses and load of a group of callers.
struct CallerOptions {
  std::uint64_t Seed = 1;
  std::uint32_t FirstAddress = 0xCB007101; ///< 203.0.113.1.
  std::size_t CallerCount = 8;             ///< One address each.
  std::uint16_t FirstPort = 20000;
  std::uint16_t PortsPerCaller = 500; ///< Reused round-robin.
  double RequestsPerSecond = 100;
  std::size_t FeedCount = 20;
  std::chrono::milliseconds ShortWorkMin{2};
  std::chrono::milliseconds ShortWorkMax{10};
  double StragglerShare = 0.02;
  std::chrono::milliseconds StragglerWorkMin{200};
  std::chrono::milliseconds StragglerWorkMax{600};
  /// Measured from the SYN; applies once the connection is established.
  std::chrono::milliseconds AnswerTimeout{10000};
  std::string IdPrefix = "r";
};

/// Callers that keep feeds open and send requests.
///
/// A request is sent once and never retried. Performs no I/O: datagrams and the
/// time are passed in, packets are taken out.
class CallerStandIn {
public:
  CallerStandIn(const state::Settings &settings, CallerOptions options);

  /// Opens the feeds and starts sending.
  void start(common::TimePoint now);
  /// Sends no more requests; those in flight continue.
  void stopSending() { IsSending = false; }
  /// Closes the feeds and aborts the requests in flight. The outcome of an
  /// established one is unknown; one that was never established did not run.
  void finish(common::TimePoint now);
  /// Handles a datagram from the fabric.
  void onDatagram(common::TimePoint now, std::span<std::byte> datagram);
  /// Runs TCP timers, sends due requests and feed messages and expires
  /// requests. Call every few milliseconds.
  void onTimer(common::TimePoint now);

  /// Removes and returns the packets to send.
  std::vector<std::vector<std::byte>> takePackets();
  /// Number of requests without an outcome.
  std::size_t pendingRequests() const;
  const CallerLog &log() const { return Log; }
  const TcpCounters &tcpCounters() const { return Tcp.counters(); }

private:
  struct Target {
    std::string Service;
    common::Endpoint Address;
  };
  struct Request {
    std::string Id;
    std::string Service;
    std::chrono::milliseconds Work{0};
    common::TimePoint StartedAt;
    bool IsEstablished = false;
    bool HasOutcome = false;
    LineBuffer Input;
  };
  struct Feed {
    Target Destination;
    bool IsEstablished = false;
    LineBuffer Input;
    std::string Server;
    std::uint64_t Sent = 0;
    std::uint64_t Echoed = 0;
    std::uint64_t Pushed = 0;
    common::TimePoint NextMessage;
    common::TimePoint LastReceivedAt;
  };
  struct PendingReopen {
    common::TimePoint Due;
    Target Destination;
  };

  void handleEvents(common::TimePoint now);
  void onEvent(common::TimePoint now, const Connected &event);
  void onEvent(common::TimePoint now, const Received &event);
  void onEvent(common::TimePoint now, const PeerClosed &event);
  void onEvent(common::TimePoint now, const Closed &event);
  void onEvent(common::TimePoint now, const Refused &event);
  void onEvent(common::TimePoint now, const Reset &event);
  void onEvent(common::TimePoint now, const TimedOut &event);
  void onEvent(common::TimePoint, const HandshakeStarted &) {}
  void onEvent(common::TimePoint, const Accepted &) {}

  void sendDueRequests(common::TimePoint now);
  void sendRequest(common::TimePoint now);
  void expireRequests(common::TimePoint now);
  void onAnswer(common::TimePoint now, Request &request,
                const std::string &line);
  void recordUnknownOutcome(common::TimePoint now, Request &request,
                            const std::string &reason);
  void recordNotRun(Request &request);

  void openFeed(common::TimePoint now, const Target &target);
  void runFeeds(common::TimePoint now);
  void onFeedLine(common::TimePoint now, ConnectionId id, Feed &feed,
                  const std::string &line);
  /// Records the end of a feed and schedules its reopening.
  void endFeed(common::TimePoint now, ConnectionId id,
               const std::string &reason);
  /// Updates MaxFeedIdleTime with the time since data last arrived.
  void recordIdleTime(common::TimePoint now, const Feed &feed);

  /// The next caller round-robin with its next free port towards \p remote, or
  /// nothing if all its ports are in use.
  std::optional<common::Endpoint>
  nextLocalEndpoint(const common::Endpoint &remote);
  std::chrono::milliseconds randomWorkTime();
  /// Uniform in [0, 1).
  double randomFraction();

  CallerOptions Options;
  std::mt19937_64 Random;
  TcpEndpoint Tcp;
  // Each service is listed once per backend server, so that a random entry
  // loads the services in proportion to their size.
  std::vector<Target> RequestTargets;
  std::vector<Target> FeedTargets;
  std::map<ConnectionId, Request> Requests;
  std::map<ConnectionId, Feed> Feeds;
  std::vector<PendingReopen> PendingReopens;
  std::vector<std::uint16_t> NextPortOffset; ///< By caller.
  std::size_t NextCaller = 0;
  std::uint64_t NextRequest = 1;
  common::TimePoint NextArrival;
  bool IsSending = false;
  bool IsFinished = false;
  CallerLog Log;
};

} // namespace auburnroute::standins
