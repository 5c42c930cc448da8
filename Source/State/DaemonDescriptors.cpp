#include "State/DaemonDescriptors.h"

namespace auburnroute::state {

using namespace std::chrono_literals;

const FieldTable<DaemonSettings> &daemonDescriptors() {
  using D = DaemonSettings;
  using V = ValueDescriptor;
  constexpr std::int64_t MinKey = 16; // Shorter keys can be guessed.
  static const FieldTable<D> table{
      field<D, &D::Host>(
          V::name("host", "Name of this host in the platform's list.")
              .required()),
      field<D, &D::Zone>(
          V::name("zone", "Availability zone of this host.").required()),
      field<D, &D::Packets>(
          V::endpoint("packets", "UDP, packets from the fabric.")
              .listening()
              .required()),
      field<D, &D::Admission>(
          V::endpoint("admission",
                      "UDP, hand-overs from hosts; not the same as packets.")
              .listening()
              .required()),
      field<D, &D::Peer>(V::endpoint("peer", "TCP, messages between hosts.")
                             .listening()
                             .required()),
      field<D, &D::Operator>(
          V::endpoint("operator",
                      "TCP, HTTP for operators; not the same as peer.")
              .listening()
              .required()),
      field<D, &D::Gateway>(
          V::endpoint("gateway", "UDP, fabric gateway that takes packets to "
                                 "callers.")
              .required()),
      field<D, &D::Platform>(
          V::endpoint("platform", "TCP, HTTP of the platform; without it the "
                                  "host learns from its peers.")),
      field<D, &D::SharedKey>(
          V::secret("sharedKey", MinKey, 1024,
                    "Key that authenticates messages and hand-overs; the same "
                    "on all hosts.")
              .required()),
      field<D, &D::TrafficThreads>(V::integer(
          "trafficThreads", "threads", 1, 64, "Threads that forward packets.")),
      field<D, &D::Seeds>(
          V::endpoints("seeds", 1024, "Peer endpoints to ask first.")),
      field<D, &D::SuspectAfter>(
          V::duration("suspectAfter", 100ms, 1min,
                      "Silence after which a host is suspected; more than "
                      "heartbeatInterval.")),
      field<D, &D::DeadAfter>(
          V::duration("deadAfter", 100ms, 10min,
                      "Silence after which a host is dead; more than "
                      "suspectAfter.")),
      field<D, &D::HeartbeatInterval>(
          V::duration("heartbeatInterval", 10ms, 10s,
                      "Time between two heartbeats to a neighbour.")),
      field<D, &D::PauseLimit>(
          V::duration("pauseLimit", 10ms, 10s,
                      "Gap in a loop after which the host counts as paused.")),
      field<D, &D::JoinTimeout>(
          V::duration("joinTimeout", 100ms, 1min,
                      "Longest wait for an answer of a peer before the host "
                      "serves unconfirmed.")),
      field<D, &D::StopQuiet>(
          V::duration("stopQuiet", 10ms, 1min,
                      "Time without packets after which a stopping host "
                      "ends.")),
      field<D, &D::StopTimeout>(
          V::duration("stopTimeout", 100ms, 10min,
                      "Longest graceful stop; more than stopQuiet.")),
  };
  return table;
}

} // namespace auburnroute::state
