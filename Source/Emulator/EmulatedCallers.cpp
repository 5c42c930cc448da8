#include "Emulator/EmulatedCallers.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>
#include <utility>

namespace auburnroute::emulator {

using std::chrono::milliseconds;

namespace {

/// Delays before retransmissions. An attempt fails when the third
/// retransmission of its SYN is due. A request is retransmitted until its
/// deadline, with the last delay repeated.
constexpr std::array<milliseconds, 3> RetransmitDelays{
    milliseconds(200), milliseconds(400), milliseconds(800)};
/// Delay between a failed attempt and the next one.
constexpr milliseconds RetryDelay{20};
constexpr std::uint16_t RequestBytes = 500;
constexpr std::uint32_t AnswerBytes = 1000;
constexpr std::uint32_t RouteNetwork = 0xC6120000; // 198.18.0.0, RFC 2544
constexpr std::uint16_t RoutePort = 443;
constexpr std::uint32_t CallerNetwork = 0x64400000; // 100.64.0.0, RFC 6598
constexpr std::size_t PortsPerCaller = 50000;
constexpr std::uint16_t FirstCallerPort = 1024;

} // namespace

EmulatedCallers::EmulatedCallers(const Deployment &deployment,
                                 EventQueue &queue, EmulationResult &result,
                                 std::uint64_t seed, SendToHost sendToHost)
    : Config(deployment), Queue(queue), Result(result),
      Send(std::move(sendToHost)), Random(seed) {
  double totalWeight = 0;
  for (const auto &it : Config.Zones)
    totalWeight += it.TrafficWeight;
  for (std::size_t kind = 0; kind < Config.Requests.size(); ++kind)
    for (std::size_t zone = 0; zone < Config.Zones.size(); ++zone) {
      std::seed_seq seeds{seed, std::uint64_t{kind}, std::uint64_t{zone}};
      Streams.push_back(
          {kind,
           zone,
           Config.Requests[kind].RatePerSecond *
               Config.Zones[zone].TrafficWeight / std::max(totalWeight, 1e-9),
           std::mt19937_64(seeds),
           {},
           Config.Requests[kind].Flows * Config.Zones[zone].TrafficWeight /
               std::max(totalWeight, 1e-9)});
    }
}

common::Endpoint EmulatedCallers::routeAddress(std::size_t request) {
  return {RouteNetwork + 1 + static_cast<std::uint32_t>(request), RoutePort};
}

void EmulatedCallers::start(common::TimePoint end) {
  Start = Queue.now();
  End = end;
  for (std::size_t n = 0; n < Streams.size(); ++n)
    scheduleNext(n);
}

void EmulatedCallers::scheduleNext(std::size_t stream) {
  auto &it = Streams[stream];
  if (it.RatePerSecond <= 0)
    return;
  // Thinning of a Poisson process: arrivals are drawn at the maximum rate and
  // accepted with the probability of the current rate. So a stream makes the
  // same random draws for every candidate.
  const double maxRate = it.RatePerSecond * MaxRateFactor;
  const double interval =
      std::exponential_distribution<double>(maxRate)(it.Random);
  const double acceptance = std::uniform_real_distribution<double>()(it.Random);
  Queue.scheduleAfter(
      std::chrono::nanoseconds(static_cast<std::int64_t>(interval * 1e9)),
      [this, stream, acceptance] {
        if (Queue.now() > End)
          return;
        const double cycles =
            Milliseconds(Queue.now() - Start) / Milliseconds(Config.RatePeriod);
        const double rate =
            RateFactor *
            (1 + Config.RateSwing * std::sin(2 * std::numbers::pi * cycles));
        if (acceptance * MaxRateFactor < rate)
          issueRequest(stream);
        scheduleNext(stream);
      });
}

Milliseconds EmulatedCallers::drawWork(const RequestSpec &spec,
                                       std::mt19937_64 &random) {
  // Subtracting half of the variance gives the lognormal factor a mean of 1.
  const double spread =
      std::exp(spec.WorkSigma * std::normal_distribution<double>()(random) -
               spec.WorkSigma * spec.WorkSigma / 2);
  const bool tail =
      std::uniform_real_distribution<double>()(random) < spec.TailShare;
  const double mean = 1 + spec.TailShare * (spec.TailFactor - 1);
  return Milliseconds(spec.MeanWorkMs * spread * (tail ? spec.TailFactor : 1) /
                      mean);
}

void EmulatedCallers::issueRequest(std::size_t stream) {
  auto &it = Streams[stream];
  const auto &spec = Config.Requests[it.SpecIndex];
  const auto number = Requests.size();
  Requests.push_back({it.SpecIndex, it.Zone, Queue.now(), 0,
                      drawWork(spec, it.Random), 0, false, false});
  Queue.scheduleAfter(spec.TimeLimit, [this, number] {
    auto &request = Requests[number];
    if (request.IsDone)
      return;
    closeFlow(request.Flow);
    complete(number, RequestOutcome::Failed);
  });
  if (!it.IdleFlows.empty() && it.OpenFlows >= it.MaxFlows) {
    if (spec.Flows > 0)
      std::swap(it.IdleFlows[Random() % it.IdleFlows.size()],
                it.IdleFlows.back());
    const auto flow = it.IdleFlows.back();
    it.IdleFlows.pop_back();
    Flows[flow].CurrentRequest = number;
    Requests[number].Flow = flow;
    sendRequest(flow, 0);
    return;
  }
  openFlow(number);
}

void EmulatedCallers::retry(RequestIndex number) {
  auto &request = Requests[number];
  if (request.IsDone)
    return;
  if (++request.Attempts > Config.Requests[request.SpecIndex].Retries) {
    complete(number, RequestOutcome::Failed);
    return;
  }
  Queue.scheduleAfter(RetryDelay, [this, number] {
    if (!Requests[number].IsDone)
      openFlow(number);
  });
}

void EmulatedCallers::openFlow(RequestIndex number) {
  auto &request = Requests[number];
  const auto flow = Flows.size();
  auto &it = Flows.emplace_back();
  it.Zone = request.Zone;
  it.SpecIndex = request.SpecIndex;
  it.Caller = {
      CallerNetwork + static_cast<std::uint32_t>(flow / PortsPerCaller),
      static_cast<std::uint16_t>(FirstCallerPort + flow % PortsPerCaller)};
  it.CurrentRequest = number;
  ++streamOf(it).OpenFlows;
  request.Flow = flow;
  request.WasSent = false;
  sendSyn(flow, 0);
}

routing::FlowPacket EmulatedCallers::makePacket(const Flow &flow) const {
  routing::FlowPacket packet;
  packet.Source = flow.Caller;
  packet.Destination = routeAddress(flow.SpecIndex);
  packet.Ack = true;
  packet.Sequence = flow.Sequence;
  packet.Acknowledgement = flow.Acknowledgement;
  packet.Echo = flow.Echo;
  return packet;
}

void EmulatedCallers::sendSyn(FlowNumber flow, std::uint32_t retransmissions) {
  const auto &it = Flows[flow];
  if (it.State != FlowState::Opening)
    return;
  if (retransmissions == RetransmitDelays.size()) {
    onFailure(flow, false);
    return;
  }
  auto packet = makePacket(it);
  packet.Ack = false;
  packet.Syn = true;
  packet.Acknowledgement = retransmissions;
  Send(it.Zone, flow, packet);
  Queue.scheduleAfter(
      RetransmitDelays[retransmissions],
      [this, flow, retransmissions] { sendSyn(flow, retransmissions + 1); });
}

void EmulatedCallers::sendRequest(FlowNumber flow,
                                  std::uint32_t retransmissions) {
  auto &it = Flows[flow];
  const auto number = it.CurrentRequest;
  it.State = FlowState::Busy;
  it.IsAcknowledged = false;
  Requests[number].WasSent = true;
  auto packet = makePacket(it);
  packet.PayloadSize = RequestBytes;
  Send(it.Zone, flow, packet);
  Queue.scheduleAfter(
      RetransmitDelays[std::min<std::size_t>(retransmissions, 2)],
      [this, flow, number, retransmissions] {
        const auto &later = Flows[flow];
        // Only a lost request is repeated if servers acknowledge at once.
        if (later.State == FlowState::Busy && later.CurrentRequest == number &&
            !later.IsAcknowledged)
          sendRequest(flow, retransmissions + 1);
      });
}

void EmulatedCallers::onReply(FlowNumber flow, const ServerReply &reply) {
  auto &it = Flows[flow];
  switch (reply.Kind) {
  case ReplyKind::SynAck:
    if (it.State != FlowState::Opening)
      return;
    it.Echo = reply.Echo;
    sendRequest(flow, 0);
    return;
  case ReplyKind::Acknowledgement:
    if (reply.Sequence == it.Sequence)
      it.IsAcknowledged = true;
    return;
  case ReplyKind::Answer:
    if (it.State == FlowState::Busy && reply.Sequence == it.Sequence)
      onAnswer(flow);
    return;
  case ReplyKind::Shed:
    if (it.State == FlowState::Busy && reply.Sequence == it.Sequence)
      onFailure(flow, false);
    return;
  case ReplyKind::UnknownFlow:
    onFailure(flow, true);
    return;
  }
}

void EmulatedCallers::onReset(FlowNumber flow) { onFailure(flow, true); }

void EmulatedCallers::onAnswer(FlowNumber flow) {
  auto &it = Flows[flow];
  const auto number = it.CurrentRequest;
  const auto &spec = Config.Requests[it.SpecIndex];
  it.Sequence += RequestBytes;
  it.Acknowledgement += AnswerBytes;
  it.CurrentRequest = NoRequest;
  const bool isLast =
      !spec.ReusesFlow ||
      (spec.Flows > 0 &&
       std::uniform_real_distribution<double>()(Random) * spec.RequestsPerFlow <
           1);
  it.State = FlowState::Idle;
  auto packet = makePacket(it);
  packet.Fin = isLast;
  Send(it.Zone, flow, packet);
  if (isLast)
    closeFlow(flow);
  else
    streamOf(it).IdleFlows.push_back(flow);
  const auto responseTime = Queue.now() - Requests[number].IssuedAt;
  complete(number, responseTime <= spec.Objective ? RequestOutcome::OnTime
                                                  : RequestOutcome::Late);
}

void EmulatedCallers::closeFlow(FlowNumber flow) {
  if (std::exchange(Flows[flow].State, FlowState::Closed) != FlowState::Closed)
    --streamOf(Flows[flow]).OpenFlows;
}

void EmulatedCallers::onFailure(FlowNumber flow, bool mayHaveRun) {
  auto &it = Flows[flow];
  if (it.State == FlowState::Closed || it.CurrentRequest == NoRequest)
    return;
  const auto number = std::exchange(it.CurrentRequest, NoRequest);
  closeFlow(flow);
  const auto &request = Requests[number];
  if (mayHaveRun && request.WasSent &&
      Config.Requests[it.SpecIndex].Kind == routing::RequestKind::NonIdempotent)
    complete(number, RequestOutcome::Failed);
  else
    retry(number);
}

void EmulatedCallers::complete(RequestIndex number, RequestOutcome outcome) {
  auto &request = Requests[number];
  if (std::exchange(request.IsDone, true))
    return;
  Result.addRequest(request.SpecIndex, request.Zone, request.IssuedAt - Start,
                    outcome, Queue.now() - request.IssuedAt);
}

Milliseconds EmulatedCallers::pendingWork(FlowNumber flow) const {
  const auto number = Flows[flow].CurrentRequest;
  return number == NoRequest ? Milliseconds(0) : Requests[number].Work;
}

void EmulatedCallers::failPending() {
  for (RequestIndex n = 0; n < Requests.size(); ++n)
    complete(n, RequestOutcome::Failed);
}

} // namespace auburnroute::emulator
