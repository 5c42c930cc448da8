#include "State/Counters.h"

namespace auburnroute::state {

std::string_view toString(Counter counter) {
  switch (counter) {
  case Counter::CallerPackets:
    return "caller_packets_total";
  case Counter::BackendServerPackets:
    return "backend_server_packets_total";
  case Counter::HandOverPacketsSent:
    return "hand_over_packets_sent_total";
  case Counter::HandOverPacketsReceived:
    return "hand_over_packets_received_total";
  case Counter::FlowsPlaced:
    return "flows_placed_total";
  case Counter::FlowsHeld:
    return "flows_held_total";
  case Counter::FlowsRefused:
    return "flows_refused_total";
  case Counter::FlowsFinished:
    return "flows_finished_total";
  case Counter::SynsRepeated:
    return "syns_repeated_total";
  case Counter::PausesDetected:
    return "pauses_detected_total";
  case Counter::LoadReportsReceived:
    return "load_reports_received_total";
  case Counter::LoadReportFailures:
    return "load_report_failures_total";
  case Counter::PlatformReads:
    return "platform_reads_total";
  case Counter::PlatformFailures:
    return "platform_failures_total";
  case Counter::Count:
    break;
  }
  return "invalid";
}

} // namespace auburnroute::state
