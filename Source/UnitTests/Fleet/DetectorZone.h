#pragma once

#include "Common/ManualClock.h"
#include "Fleet/GossipCodec.h"
#include "Fleet/SharedFailureDetector.h"
#include "UnitTests/Fleet/FleetFixture.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace auburnroute::unittests {

/// Records what a detector decides.
class RecordingVerdictObserver final : public fleet::VerdictObserver {
public:
  void onVerdict(const fleet::VerdictEvent &verdict) override {
    Events.push_back(verdict);
    if (verdict.IsNew)
      Verdicts.emplace_back(verdict.Server, verdict.Kind);
  }
  void onVerdictEnd(const fleet::VerdictEnd &end) override {
    Ends.push_back(end);
  }
  void onRejected(fleet::EvidenceRejection why, std::uint64_t,
                  std::uint32_t) override {
    Rejected.push_back(why);
  }

  std::vector<fleet::VerdictEvent> Events;
  std::vector<fleet::VerdictEnd> Ends;
  /// The server and kind of new verdicts.
  std::vector<std::pair<routing::ServerId, fleet::VerdictKind>> Verdicts;
  std::vector<fleet::EvidenceRejection> Rejected;
};

/// What a host needs for shared failure detection. The servers "s1" to
/// "s<serverCount>" have the ids 0 to serverCount - 1.
struct DetectorHost {
  DetectorHost(std::uint32_t address, std::uint64_t serverCount,
               common::TimePoint now, const std::string &zone = "a")
      : Peers({address, zone, 1, 1}, address) {
    for (std::uint64_t n = 1; n <= serverCount; ++n)
      Directory.apply(sampleServer(n, n), now);
  }

  routing::ServerDirectory Directory{LapsedServerRetention};
  routing::ServerHealthTracker Health;
  fleet::PeerTable Peers;
  RecordingVerdictObserver Observer;
  fleet::SharedFailureDetector Detector{Peers, Directory, Health, Observer};
};

/// The hosts of one zone, with requests of callers to its servers. Messages
/// between hosts are encoded, take LinkDelay and may be lost.
class DetectorZone {
public:
  static constexpr std::chrono::milliseconds Step{10};
  static constexpr std::chrono::milliseconds PollInterval{50};
  static constexpr std::chrono::milliseconds LinkDelay{1};
  static constexpr std::uint32_t FirstAddress = 0x0a010001; // 10.1.0.1

  DetectorZone(std::uint32_t hostCount, std::uint64_t serverCount,
               std::uint64_t seed);

  /// Lets callers send \p perServer requests a second to each server for \p
  /// time.
  void run(std::chrono::milliseconds time, double perServer);
  /// The share of a host's requests, retransmissions and messages that are
  /// lost.
  void setLoss(double share) { Loss = share; }
  void setSilent(routing::ServerId id) { IsSilent[id] = true; }
  /// Multiplies the time that a server needs for a request.
  void setSlow(routing::ServerId id, int factor) { Slowness[id] = factor; }
  /// A host that forwards and reports nothing, and receives nothing.
  void setDown(std::size_t host) { IsDown[host] = true; }
  /// A host whose packets reach no server, while its messages reach hosts.
  void setIsolated(std::size_t host) { IsIsolated[host] = true; }

  common::ManualClock Clock;
  std::vector<std::unique_ptr<DetectorHost>> Hosts;
  /// When each server was found dead by the first host, and by the last one so
  /// far.
  struct DeadTimes {
    common::TimePoint First;
    common::TimePoint Last;
    std::size_t HostCount = 0;
  };
  std::map<routing::ServerId, DeadTimes> Dead;
  std::size_t MessageBytes = 0;

private:
  struct Request {
    std::size_t Host = 0;
    routing::ServerId Server = 0;
    std::uint32_t Caller = 0;
    common::TimePoint SentAt;
    common::TimePoint AnswerAt; ///< Never, if it is the largest value.
    int Retransmissions = 0;
  };
  struct Datagram {
    common::TimePoint At;
    std::size_t To = 0;
    std::string Bytes;
  };

  void sendRequests(double perServer);
  void advanceRequests();
  /// In place of gossip.
  void renewHeartbeats();
  void exchange();
  bool isLost() { return Unit(Random) < Loss; }
  /// When a packet sent now is answered.
  common::TimePoint answerTime(const Request &request);

  std::mt19937_64 Random;
  std::uniform_real_distribution<double> Unit{0, 1};
  double Loss = 0;
  std::vector<bool> IsSilent;
  std::vector<int> Slowness;
  std::vector<bool> IsDown;
  std::vector<bool> IsIsolated;
  std::vector<Request> Requests;
  std::deque<Datagram> Datagrams;
  common::TimePoint NextPoll;
  std::uint64_t Heartbeat = 1;
};

} // namespace auburnroute::unittests
