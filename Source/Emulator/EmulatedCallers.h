#pragma once

#include "Emulator/EmulatedServer.h"
#include "Emulator/EmulationResult.h"
#include "Emulator/EventQueue.h"

#include <functional>
#include <random>
#include <vector>

namespace auburnroute::emulator {

/// The callers of all zones. They send requests, retransmit packets, retry
/// failed attempts and give up at the deadline.
class EmulatedCallers {
public:
  /// Sends a packet of a flow from a zone to the hosts.
  using SendToHost = std::function<void(std::size_t zone, FlowNumber flow,
                                        const routing::FlowPacket &packet)>;

  /// References must outlive the object. Equal seeds produce the same requests
  /// at the same times, whatever the answers are.
  EmulatedCallers(const Deployment &deployment, EventQueue &queue,
                  EmulationResult &result, std::uint64_t seed,
                  SendToHost sendToHost);

  /// Issues requests until \p end.
  void start(common::TimePoint end);
  /// Multiplies the traffic by \p factor from now on.
  void setRateFactor(double factor) { RateFactor = factor; }
  void onReply(FlowNumber flow, const ServerReply &reply);
  /// Handles an RST that a host sent on \p flow.
  void onReset(FlowNumber flow);
  /// Processing time of the open request on \p flow; 0 if there is none.
  Milliseconds pendingWork(FlowNumber flow) const;
  /// Address of the route for the request kind with this index.
  static common::Endpoint routeAddress(std::size_t request);
  /// Counts all open requests as failed.
  void failPending();

private:
  enum class FlowState : std::uint8_t { Opening, Idle, Busy, Closed };
  using RequestIndex = std::size_t;
  static constexpr RequestIndex NoRequest = ~std::size_t{0};
  /// Limit of the traffic relative to its mean; higher rates are cut off.
  static constexpr double MaxRateFactor = 10;

  struct Flow {
    std::size_t Zone = 0;
    std::size_t SpecIndex = 0;
    common::Endpoint Caller;
    FlowState State = FlowState::Opening;
    std::uint32_t Sequence = 1;
    std::uint32_t Acknowledgement = 1;
    std::uint32_t Echo = 0;
    RequestIndex CurrentRequest = NoRequest;
    bool IsAcknowledged = false; ///< The request has reached the server.
  };
  struct Request {
    std::size_t SpecIndex = 0;
    std::size_t Zone = 0;
    common::TimePoint IssuedAt;
    std::uint32_t Attempts = 0;
    Milliseconds Work{0};
    FlowNumber Flow = 0;
    bool WasSent = false; ///< On the current flow, so a server may have run it.
    bool IsDone = false;
  };
  /// The requests of one kind from one zone, with their own random generator.
  struct Stream {
    std::size_t SpecIndex = 0;
    std::size_t Zone = 0;
    double RatePerSecond = 0;
    std::mt19937_64 Random;
    std::vector<FlowNumber> IdleFlows;
    double MaxFlows = 0; ///< Part of RequestSpec::Flows.
    std::uint32_t OpenFlows = 0;
  };

  void scheduleNext(std::size_t stream);
  void issueRequest(std::size_t stream);
  Milliseconds drawWork(const RequestSpec &spec, std::mt19937_64 &random);
  void retry(RequestIndex number);
  void openFlow(RequestIndex number);
  void sendSyn(FlowNumber flow, std::uint32_t retransmissions);
  void sendRequest(FlowNumber flow, std::uint32_t retransmissions);
  void onAnswer(FlowNumber flow);
  void onFailure(FlowNumber flow, bool mayHaveRun);
  void closeFlow(FlowNumber flow);
  Stream &streamOf(const Flow &flow) {
    return Streams[flow.SpecIndex * Config.Zones.size() + flow.Zone];
  }
  void complete(RequestIndex number, RequestOutcome outcome);
  routing::FlowPacket makePacket(const Flow &flow) const;

  const Deployment &Config;
  EventQueue &Queue;
  EmulationResult &Result;
  SendToHost Send;
  common::TimePoint Start;
  common::TimePoint End;
  double RateFactor = 1;
  /// For draws that depend on answers.
  std::mt19937_64 Random;
  std::vector<Stream> Streams;
  std::vector<Flow> Flows;
  std::vector<Request> Requests;
};

} // namespace auburnroute::emulator
