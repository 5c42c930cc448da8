#pragma once

#include "Emulator/EmulatedServer.h"
#include "Emulator/EmulationResult.h"
#include "Emulator/EventQueue.h"

#include <functional>
#include <random>
#include <vector>

namespace auburnroute::emulator {

/// The callers of all zones: they ask, repeat packets, retry and give up.
class EmulatedCallers {
public:
  /// Sends a packet of a flow from a zone to the hosts.
  using SendToHost = std::function<void(std::size_t zone, FlowNumber flow,
                                        const routing::FlowPacket &packet)>;

  /// References must outlive the object. Equal seeds ask for the same, whatever
  /// the answers are.
  EmulatedCallers(const Deployment &deployment, EventQueue &queue,
                  EmulationResult &result, std::uint64_t seed,
                  SendToHost sendToHost);

  /// Asks until \p end.
  void start(common::TimePoint end);
  /// Multiplies the traffic.
  void setBurst(double factor) { Burst = factor; }
  void onReply(FlowNumber flow, const ServerReply &reply);
  /// A host reset the flow.
  void onReset(FlowNumber flow);
  /// What the request on \p flow takes of a server.
  Milliseconds workOf(FlowNumber flow) const;
  /// The address of a kind of request.
  static common::Endpoint addressOf(std::size_t request);
  /// Ends what is still under way as failed.
  void finish();

private:
  enum class FlowState : std::uint8_t { Opening, Idle, Busy, Closed };
  using RequestNumber = std::size_t;
  static constexpr RequestNumber NoRequest = ~std::size_t{0};
  /// Traffic never exceeds this multiple of its mean.
  static constexpr double MaxBurst = 10;

  struct Flow {
    std::size_t Zone = 0;
    std::size_t Kind = 0;
    common::Endpoint Caller;
    FlowState State = FlowState::Opening;
    std::uint32_t Sequence = 1;
    std::uint32_t Acknowledgement = 1;
    std::uint32_t Echo = 0;
    RequestNumber Current = NoRequest;
  };
  struct Request {
    std::size_t Kind = 0;
    std::size_t Zone = 0;
    common::TimePoint IssuedAt;
    std::uint32_t Tries = 0;
    Milliseconds Work{0};
    FlowNumber Flow = 0;
    bool Sent = false; ///< Part of it reached a host on the current flow.
    bool Done = false;
  };
  /// One stream of requests of a kind from a zone.
  struct Stream {
    std::size_t Kind = 0;
    std::size_t Zone = 0;
    double RatePerSecond = 0;
    std::mt19937_64 Random;
    std::vector<FlowNumber> IdleFlows;
  };

  void next(std::size_t stream);
  void ask(std::size_t stream);
  Milliseconds drawWork(const RequestSpec &spec, std::mt19937_64 &random);
  void attempt(RequestNumber number);
  void open(RequestNumber number);
  void sendSyn(FlowNumber flow, std::uint32_t copy);
  void sendRequest(FlowNumber flow, std::uint32_t copy);
  void onAnswer(FlowNumber flow);
  void onFailure(FlowNumber flow, bool mayHaveRun);
  void end(RequestNumber number, RequestOutcome how);
  routing::FlowPacket packetOf(const Flow &flow) const;

  const Deployment &Config;
  EventQueue &Queue;
  EmulationResult &Result;
  SendToHost Send;
  common::TimePoint Start;
  common::TimePoint End;
  double Burst = 1;
  std::vector<Stream> Streams;
  std::vector<Flow> Flows;
  std::vector<Request> Requests;
};

} // namespace auburnroute::emulator
