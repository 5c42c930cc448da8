#include "UnitTests/Fleet/DetectorZone.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace auburnroute::unittests {

using common::TimePoint;
using std::chrono::milliseconds;

namespace {

/// Mean time of a request. Some take several times as long.
constexpr double MeanWorkMs = 15;
/// Share of the requests that are sent on open flows, which stay with a
/// suspected server.
constexpr double OpenFlowShare = 0.75;
/// When callers retransmit a request, after it was sent first.
constexpr std::array<milliseconds, 3> RetransmitAfter{
    milliseconds(200), milliseconds(600), milliseconds(1400)};
/// Longer than callers wait for an answer.
constexpr milliseconds CallerTimeout{1500};

} // namespace

DetectorZone::DetectorZone(std::uint32_t hostCount, std::uint64_t serverCount,
                           std::uint64_t seed)
    : Random(seed), IsSilent(serverCount), Slowness(serverCount, 1),
      IsDown(hostCount), IsIsolated(hostCount) {
  for (std::uint32_t n = 0; n < hostCount; ++n)
    Hosts.push_back(std::make_unique<DetectorHost>(FirstAddress + n,
                                                   serverCount, Clock.now()));
  for (auto &host : Hosts)
    for (std::uint32_t n = 0; n < hostCount; ++n)
      host->Peers.applyDirectUpdate({FirstAddress + n, "a", 1, 1}, Clock.now());
}

void DetectorZone::run(milliseconds time, double perServer) {
  const auto end = Clock.now() + time;
  while (Clock.now() < end) {
    sendRequests(perServer);
    advanceRequests();
    exchange();
    Clock.advance(Step);
  }
}

TimePoint DetectorZone::answerTime(const Request &request) {
  if (IsSilent[request.Server] || IsIsolated[request.Host] || isLost())
    return TimePoint::max();
  // A tail of seven times the mean, as the users' work has.
  const auto work =
      std::min(std::exponential_distribution<double>(1 / MeanWorkMs)(Random),
               7 * MeanWorkMs);
  return Clock.now() +
         milliseconds(static_cast<int>(work) * Slowness[request.Server]);
}

void DetectorZone::sendRequests(double perServer) {
  const double mean = perServer * static_cast<double>(IsSilent.size()) *
                      static_cast<double>(Step.count()) / 1000;
  for (auto n = std::poisson_distribution<int>(mean)(Random); n > 0; --n) {
    Request request;
    request.Host = Random() % Hosts.size();
    request.Server = static_cast<routing::ServerId>(Random() % IsSilent.size());
    request.Caller = static_cast<std::uint32_t>(1 + Random() % 400);
    request.SentAt = Clock.now();
    auto &health = Hosts[request.Host]->Health;
    const bool isOnOpenFlow = Unit(Random) < OpenFlowShare;
    if (IsDown[request.Host] ||
        (isOnOpenFlow ? health.isDead(request.Server, Clock.now())
                      : health.isSuspect(request.Server, Clock.now())))
      continue;
    request.AnswerAt = answerTime(request);
    Requests.push_back(request);
  }
}

void DetectorZone::advanceRequests() {
  const auto now = Clock.now();
  std::erase_if(Requests, [&](Request &it) {
    auto &host = *Hosts[it.Host];
    if (now >= it.AnswerAt) {
      host.Health.onAnswer(it.Server, host.Directory.at(it.Server).Zone,
                           it.SentAt, now);
      host.Health.onAnswerTime(
          std::chrono::duration_cast<milliseconds>(now - it.SentAt),
          it.Retransmissions > 0, now);
      return true;
    }
    if (it.Retransmissions < std::ssize(RetransmitAfter) &&
        now - it.SentAt >= RetransmitAfter[it.Retransmissions]) {
      if (++it.Retransmissions == 1)
        host.Health.onRetransmission(it.Server,
                                     routing::SuspicionReason::DataUnanswered,
                                     it.Caller, it.SentAt, now);
      else if (it.Retransmissions == 2)
        host.Health.onSecondRetransmission(it.Server);
      // An answer to an earlier copy may still be on its way.
      it.AnswerAt = std::min(it.AnswerAt, answerTime(it));
    }
    return now - it.SentAt > CallerTimeout;
  });
}

void DetectorZone::renewHeartbeats() {
  ++Heartbeat;
  for (std::size_t from = 0; from < Hosts.size(); ++from)
    if (!IsDown[from])
      for (auto &to : Hosts)
        to->Peers.applyDirectUpdate(
            {FirstAddress + static_cast<std::uint32_t>(from), "a", 1,
             Heartbeat},
            Clock.now());
}

void DetectorZone::exchange() {
  const auto now = Clock.now();
  const bool isPollDue = now >= NextPoll;
  if (isPollDue) {
    NextPoll = now + PollInterval;
    renewHeartbeats();
  }
  while (!Datagrams.empty() && Datagrams.front().At <= now) {
    const auto datagram = std::move(Datagrams.front());
    Datagrams.pop_front();
    if (IsDown[datagram.To])
      continue;
    if (const auto message = fleet::GossipCodec::decode(datagram.Bytes))
      Hosts[datagram.To]->Detector.onMessage(*message, now);
  }
  for (std::size_t n = 0; n < Hosts.size(); ++n) {
    if (IsDown[n])
      continue;
    auto &detector = Hosts[n]->Detector;
    if (isPollDue || Hosts[n]->Health.hasNewRetransmissions())
      detector.poll(now);
    for (const auto &[message, to] : detector.takeOutgoing()) {
      const auto bytes = fleet::GossipCodec::encode(message);
      for (const auto address : to) {
        MessageBytes += bytes.size();
        if (!isLost())
          Datagrams.push_back({now + LinkDelay, address - FirstAddress, bytes});
      }
    }
    for (const auto id : detector.takeDead()) {
      auto &times = Dead[id];
      if (times.HostCount++ == 0)
        times.First = now;
      times.Last = now;
    }
  }
}

} // namespace auburnroute::unittests
