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

/// What a group of callers does.
struct CallerOptions {
  std::uint64_t Seed = 1;
  std::uint32_t FirstAddress = 0xCB007101; ///< 203.0.113.1.
  std::size_t Callers = 8;                 ///< One address each.
  std::uint16_t FirstPort = 20000;
  std::uint16_t PortsPerCaller = 500; ///< Reused in turn.
  double RequestsPerSecond = 100;
  std::size_t Feeds = 20;
  std::chrono::milliseconds ShortWorkMin{2};
  std::chrono::milliseconds ShortWorkMax{10};
  double StragglerShare = 0.02;
  std::chrono::milliseconds StragglerWorkMin{200};
  std::chrono::milliseconds StragglerWorkMax{600};
  std::chrono::milliseconds AnswerTimeout{10000}; ///< From establishment on.
  std::string IdPrefix = "r";
};

/// Callers that keep feeds open and send requests. A request is sent once and
/// never retried. No socket and no clock.
class CallerStandIn {
public:
  CallerStandIn(const state::Settings &settings, CallerOptions options);

  /// Opens the feeds and starts sending.
  void start(common::TimePoint now);
  /// Sends no more requests; those under way continue.
  void stopSending() { IsSending = false; }
  /// Closes the feeds and gives up the requests that are still under way; their
  /// outcome is unknown.
  void finish(common::TimePoint now);
  /// Handles a datagram from the fabric.
  void onDatagram(common::TimePoint now, std::span<std::byte> datagram);
  /// Runs what is due. Call every few milliseconds.
  void onTimer(common::TimePoint now);

  /// Packets to send since the last call.
  std::vector<std::vector<std::byte>> takePackets();
  /// Requests without an outcome.
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
    common::TimePoint Started;
    bool IsEstablished = false;
    bool HasOutcome = false; ///< An outcome was recorded.
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
    common::TimePoint LastReceived;
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
  /// Records the end of a feed and has it opened again.
  void endFeed(common::TimePoint now, ConnectionId id,
               const std::string &reason);
  void recordIdleTime(common::TimePoint now, const Feed &feed);

  /// Picks a caller and its next free port towards \p remote.
  std::optional<common::Endpoint>
  nextLocalEndpoint(const common::Endpoint &remote);
  std::chrono::milliseconds randomWorkTime();
  double randomFraction();

  CallerOptions Options;
  std::mt19937_64 Random;
  TcpEndpoint Tcp;
  std::vector<Target> RequestTargets; ///< Once per backend server.
  std::vector<Target> FeedTargets;    ///< Once per backend server.
  std::map<ConnectionId, Request> Requests;
  std::map<ConnectionId, Feed> Feeds;
  std::vector<PendingReopen> PendingReopens;
  std::vector<std::uint16_t>
      NextPortOffset; ///< Offset of the next port, by caller.
  std::size_t NextCaller = 0;
  std::uint64_t NextRequest = 1;
  common::TimePoint NextArrival;
  bool IsSending = false;
  bool IsFinished = false;
  CallerLog Log;
};

} // namespace auburnroute::standins
