#pragma once

#include "Emulator/Deployment.h"
#include "Emulator/EventQueue.h"
#include "Routing/FlowPacket.h"

#include "absl/container/flat_hash_map.h"

#include <deque>
#include <functional>

namespace auburnroute::emulator {

/// Index of a caller's flow, unique within a run.
using FlowNumber = std::uint64_t;

enum class ReplyKind : std::uint8_t {
  SynAck,          ///< The flow is open.
  Acknowledgement, ///< The request has arrived.
  Answer,          ///< The whole answer to a request.
  Shed,            ///< Not run: all slots and the queue are full.
  UnknownFlow,     ///< RST: the server has no such flow.
};

/// A packet that a backend server sends directly to the caller, bypassing the
/// hosts.
struct ServerReply {
  ReplyKind Kind = ReplyKind::Answer;
  std::uint32_t Echo = 0;
  std::uint32_t Sequence = 0; ///< Of the request that is answered.
};

/// A backend server that runs up to Slots requests concurrently, queues up to
/// QueueLimit more and sheds the rest.
class EmulatedServer {
public:
  using Reply = std::function<void(FlowNumber, const ServerReply &)>;

  /// References must outlive the object, which must not move.
  EmulatedServer(const ServiceSpec &spec, EventQueue &queue, Reply reply,
                 bool cold);

  /// Handles a packet of \p flow. \p work: processing time of the request in
  /// it, without cold start and slowdown.
  void onPacket(FlowNumber flow, const routing::FlowPacket &packet,
                Milliseconds work);
  /// Stops for good: later packets and running requests stay unanswered.
  void stop() { Alive = false; }
  bool isAlive() const { return Alive; }
  /// Whether it acknowledges requests before it answers them.
  void setAcknowledgesAtOnce(bool does) { AcknowledgesAtOnce = does; }
  void setSlowdownFactor(double factor) { SlowdownFactor = factor; }
  /// Number of flows accepted since the start.
  std::uint64_t acceptedFlowCount() const { return AcceptedFlows; }

private:
  struct Flow {
    std::uint32_t Sequence = 0; ///< Of the last request.
    bool Busy = false;
    ServerReply LastReply;
  };
  struct Job {
    FlowNumber Flow = 0;
    Milliseconds Work{0};
  };
  void onRequest(FlowNumber number, Flow &flow,
                 const routing::FlowPacket &packet, Milliseconds work);
  void start(const Job &job);
  void finish(FlowNumber number);

  const ServiceSpec &Spec;
  EventQueue &Queue;
  Reply Send;
  common::TimePoint ColdUntil;
  absl::flat_hash_map<FlowNumber, Flow> Flows;
  std::deque<Job> WaitingJobs;
  std::uint32_t RunningJobs = 0;
  bool AcknowledgesAtOnce = false;
  double SlowdownFactor = 1;
  bool Alive = true;
  std::uint64_t AcceptedFlows = 0;
};

} // namespace auburnroute::emulator
