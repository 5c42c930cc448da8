#include "Edge/EdgeMetrics.h"

#include "Common/Text.h"

#include "absl/strings/str_cat.h"

#include <iterator>
#include <string_view>

namespace auburnroute::edge {

namespace {

/// Upper bounds of the buckets in ms, from half of the shortest usual
/// processing time to the longest request timeout.
constexpr std::array<double, 12> AnswerBuckets{
    5, 10, 20, 50, 100, 200, 300, 500, 1000, 2000, 5000, 10000};

constexpr std::string_view Prefix = "auburnedge_";

template <typename T>
void appendSample(std::string &text, std::string_view name,
                  std::string_view type, T value) {
  const auto full = absl::StrCat(common::toAbsl(Prefix), common::toAbsl(name));
  absl::StrAppend(&text, "# TYPE ", full, " ", common::toAbsl(type), "\n", full,
                  " ", value, "\n");
}

} // namespace

std::string_view toString(EdgeCounter counter) {
  switch (counter) {
  case EdgeCounter::CallerPackets:
    return "caller_packets_total";
  case EdgeCounter::PacketsForwarded:
    return "packets_forwarded_total";
  case EdgeCounter::FlowsPlaced:
    return "flows_placed_total";
  case EdgeCounter::SynsRepeated:
    return "syns_repeated_total";
  case EdgeCounter::SynsKeptFromCold:
    return "syns_kept_from_cold_total";
  case EdgeCounter::FlowsReset:
    return "flows_reset_total";
  case EdgeCounter::ResetsRouteRemoved:
    return "open_flows_reset_route_removed_total";
  case EdgeCounter::ResetsAddressTaken:
    return "open_flows_reset_address_taken_total";
  case EdgeCounter::ResetsLapsedAndSilent:
    return "open_flows_reset_lapsed_and_silent_total";
  case EdgeCounter::ResetsVerdict:
    return "open_flows_reset_verdict_total";
  case EdgeCounter::PacketsDropped:
    return "packets_dropped_total";
  case EdgeCounter::FlowsSentToOtherZones:
    return "flows_sent_to_other_zones_total";
  case EdgeCounter::OverloadRefusals0:
    return "overload_refusals_priority_0_total";
  case EdgeCounter::OverloadRefusals1:
    return "overload_refusals_priority_1_total";
  case EdgeCounter::OverloadRefusals2:
    return "overload_refusals_priority_2_total";
  case EdgeCounter::OverloadRefusalsRest:
    return "overload_refusals_priority_rest_total";
  case EdgeCounter::Suspicions:
    return "suspicions_total";
  case EdgeCounter::SuspectedVerdicts:
    return "verdicts_suspected_total";
  case EdgeCounter::DeadVerdicts:
    return "verdicts_dead_total";
  case EdgeCounter::AnsweringVerdicts:
    return "verdicts_answering_total";
  case EdgeCounter::VerdictsEndedByAnswer:
    return "verdicts_ended_by_answer_total";
  case EdgeCounter::VerdictsEndedByPeerAnswer:
    return "verdicts_ended_by_peer_answer_total";
  case EdgeCounter::VerdictsEndedByTime:
    return "verdicts_ended_by_time_total";
  case EdgeCounter::DeadVerdictsRefuted:
    return "dead_verdicts_refuted_total";
  case EdgeCounter::VerdictsRejected:
    return "verdicts_rejected_total";
  case EdgeCounter::DegradedVerdicts:
    return "verdicts_degraded_total";
  case EdgeCounter::DegradedEnds:
    return "verdicts_degraded_ended_total";
  case EdgeCounter::OutcomesDiscarded:
    return "outcomes_discarded_total";
  case EdgeCounter::FlowsAbandoned:
    return "flows_abandoned_total";
  case EdgeCounter::RegistryCalls:
    return "registry_calls_total";
  case EdgeCounter::RegistryFailures:
    return "registry_failures_total";
  case EdgeCounter::RegistryLists:
    return "registry_lists_total";
  case EdgeCounter::EraChanges:
    return "registry_era_changes_total";
  case EdgeCounter::EvacuationChanges:
    return "evacuation_changes_total";
  case EdgeCounter::EntriesUnreadable:
    return "entries_unreadable_total";
  case EdgeCounter::EntriesRefused:
    return "entries_refused_total";
  case EdgeCounter::EntriesOutdated:
    return "entries_outdated_total";
  case EdgeCounter::GossipSent:
    return "gossip_messages_sent_total";
  case EdgeCounter::GossipBytesSent:
    return "gossip_bytes_sent_total";
  case EdgeCounter::EvidenceSent:
    return "evidence_messages_sent_total";
  case EdgeCounter::EvidenceBytesSent:
    return "evidence_bytes_sent_total";
  case EdgeCounter::LoadsSent:
    return "load_messages_sent_total";
  case EdgeCounter::LoadBytesSent:
    return "load_bytes_sent_total";
  case EdgeCounter::GossipReceived:
    return "gossip_messages_received_total";
  case EdgeCounter::GossipMalformed:
    return "gossip_messages_malformed_total";
  case EdgeCounter::GossipServersSkipped:
    return "gossip_servers_skipped_total";
  case EdgeCounter::SnapshotsFetched:
    return "snapshots_fetched_total";
  case EdgeCounter::SnapshotsFailed:
    return "snapshot_failures_total";
  case EdgeCounter::TagsAsked:
    return "unknown_tags_asked_total";
  case EdgeCounter::Pauses:
    return "pauses_total";
  case EdgeCounter::Stalls:
    return "stalls_total";
  case EdgeCounter::StalePacketsDropped:
    return "stale_packets_dropped_total";
  case EdgeCounter::LogLinesDropped:
    return "log_lines_dropped_total";
  case EdgeCounter::Count:
    break;
  }
  return "invalid";
}

EdgeMetrics::EdgeMetrics()
    : AnswerTimes(boost::histogram::make_histogram(
          boost::histogram::axis::variable<double>(AnswerBuckets))) {}

void EdgeMetrics::addAnswerTime(std::chrono::milliseconds time) {
  AnswerTimes(static_cast<double>(time.count()));
  AnswerTimeSum += static_cast<double>(time.count());
}

std::string EdgeMetrics::text(const EdgeGauges &gauges) const {
  std::string text;
  for (std::size_t i = 0; i < Counts.size(); ++i)
    appendSample(text, toString(static_cast<EdgeCounter>(i)), "counter",
                 Counts[i]);
  appendSample(text, "ready", "gauge", gauges.Ready ? 1 : 0);
  appendSample(text, "configuration_version", "gauge",
               gauges.ConfigurationVersion);
  appendSample(text, "view_revision", "gauge", gauges.ViewRevision);
  appendSample(text, "registry_era", "gauge", gauges.RegistryEra);
  appendSample(text, "view_age_ms", "gauge", gauges.ViewAge.count());
  appendSample(text, "ready_servers", "gauge", gauges.ReadyServers);
  appendSample(text, "evacuated_zones", "gauge", gauges.EvacuatedZones);
  appendSample(text, "flows", "gauge", gauges.Flows);
  appendSample(text, "peers", "gauge", gauges.Peers);
  appendSample(text, "evidence_cases", "gauge", gauges.EvidenceCases);
  appendSample(text, "cold_servers", "gauge", gauges.ColdServers);
  appendSample(text, "load_services_shared", "gauge", gauges.SharedServices);
  appendSample(text, "load_totals_age_ms", "gauge",
               gauges.LoadTotalsAge.count());
  appendSample(text, "load_interval_ms", "gauge", gauges.LoadInterval.count());
  appendSample(text, "leaving_share", "gauge", gauges.LeavingShare);
  appendSample(text, "refused_share", "gauge", gauges.RefusedShare);
  appendSample(text, "degraded_servers", "gauge", gauges.DegradedServers);
  const auto name = absl::StrCat(common::toAbsl(Prefix), "answer_time_ms");
  absl::StrAppend(&text, "# TYPE ", name, " histogram\n");
  // Bin -1 is the underflow bin: values below the first bound.
  double sum = 0;
  const int last = static_cast<int>(AnswerBuckets.size()) - 1;
  for (int i = -1; i <= last; ++i) {
    sum += AnswerTimes.at(i);
    const auto bound =
        i == last ? "+Inf"
                  : absl::StrCat(*std::next(AnswerBuckets.begin(), i + 1));
    absl::StrAppend(&text, name, "_bucket{le=\"", bound, "\"} ", sum, "\n");
  }
  absl::StrAppend(&text, name, "_sum ", AnswerTimeSum, "\n", name, "_count ",
                  sum, "\n");
  return text;
}

} // namespace auburnroute::edge
