#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include <boost/histogram.hpp>

namespace auburnroute::edge {

/// Monotonic counters of an edge daemon.
enum class EdgeCounter : std::uint8_t {
  CallerPackets,
  PacketsForwarded,
  FlowsPlaced,
  SynsRepeated,
  SynsKeptFromCold, ///< SYNs for which cold servers were left out.
  FlowsReset,
  // Resets of open flows, by reason; also counted in FlowsReset.
  ResetsRouteRemoved,
  ResetsAddressTaken,
  ResetsLapsedAndSilent,
  ResetsVerdict,
  PacketsDropped,
  FlowsSentToOtherZones,
  // SYNs refused for overload, by the priority of their route.
  OverloadRefusals0,
  OverloadRefusals1,
  OverloadRefusals2,
  OverloadRefusalsRest,
  Suspicions,
  SuspectedVerdicts,
  DeadVerdicts,
  AnsweringVerdicts,
  // Verdicts of both kinds, suspected and dead, by what ended them.
  VerdictsEndedByAnswer,
  VerdictsEndedByPeerAnswer,
  VerdictsEndedByTime,
  DeadVerdictsRefuted, ///< Verdicts "dead" among them that an answer ended.
  VerdictsRejected,
  DegradedVerdicts,
  DegradedEnds,
  OutcomesDiscarded,
  FlowsAbandoned,
  RegistryCalls,
  RegistryFailures,
  RegistryLists,
  EraChanges,
  EvacuationChanges,
  EntriesUnreadable,
  EntriesRefused,
  EntriesOutdated,
  GossipSent,
  GossipBytesSent,
  EvidenceSent,
  EvidenceBytesSent,
  LoadsSent,
  LoadBytesSent,
  GossipReceived,
  GossipMalformed,
  GossipServersSkipped,
  SnapshotsFetched,
  SnapshotsFailed,
  TagsAsked,
  Pauses,
  Stalls,
  StalePacketsDropped,
  LogLinesDropped,
  Count, ///< Number of counters, not a counter itself.
};

/// Gauges, sampled when the metrics are scraped.
struct EdgeGauges {
  bool Ready = false;
  std::uint64_t ConfigurationVersion = 0;
  std::uint64_t ViewRevision = 0;
  std::uint64_t RegistryEra = 0;
  std::chrono::milliseconds ViewAge{0};
  std::size_t ReadyServers = 0;
  std::size_t EvacuatedZones = 0;
  std::size_t Flows = 0;
  std::size_t Peers = 0;
  std::size_t EvidenceCases = 0;
  std::size_t ColdServers = 0;
  std::size_t SharedServices = 0;
  std::chrono::milliseconds LoadTotalsAge{0};
  std::chrono::milliseconds LoadInterval{0};
  /// The largest of all services, 0 to 1.
  double LeavingShare = 0;
  double RefusedShare = 0;
  std::size_t DegradedServers = 0;
};

/// Counters and the response time histogram of an edge daemon. Not thread-safe.
class EdgeMetrics {
public:
  EdgeMetrics();

  void add(EdgeCounter counter, std::uint64_t n = 1) {
    Counts[static_cast<std::size_t>(counter)] += n;
  }
  /// Overwrites a counter with a total that another component keeps.
  void set(EdgeCounter counter, std::uint64_t n) {
    Counts[static_cast<std::size_t>(counter)] = n;
  }
  std::uint64_t value(EdgeCounter counter) const {
    return Counts[static_cast<std::size_t>(counter)];
  }
  /// Adds the response time of a request, derived from the packets of its
  /// client.
  void addAnswerTime(std::chrono::milliseconds time);

  /// All metrics in the Prometheus text format.
  std::string text(const EdgeGauges &gauges) const;

private:
  using Histogram = decltype(boost::histogram::make_histogram(
      boost::histogram::axis::variable<double>{0.0, 1.0}));

  std::array<std::uint64_t, static_cast<std::size_t>(EdgeCounter::Count)>
      Counts{};
  Histogram AnswerTimes; ///< ms
  double AnswerTimeSum = 0;
};

/// Metric name of \p counter, without the common prefix.
std::string_view toString(EdgeCounter counter);

} // namespace auburnroute::edge
