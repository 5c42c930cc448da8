#pragma once

#include "Common/Clock.h"
#include "Fleet/GossipMessage.h"
#include "Fleet/VerdictEvent.h"
#include "Routing/ServerHealthTracker.h"

#include "absl/container/flat_hash_map.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace auburnroute::fleet {

/// Thresholds of the verdicts.
struct VerdictLimits {
  /// Unanswered packets, of several callers, that make a server suspected.
  std::uint32_t SuspectedCount = 2;
  routing::SilenceRule Silence;
  /// In a zone of at least MinHostsForReporters hosts this many of them must
  /// have reported the server: one alone may have lost only its own way to it.
  std::size_t DeadReporters = 2;
  std::size_t MinHostsForReporters = 4;
  /// Time between the announcement of a suspicion and the verdict, in which
  /// any host of the zone can tell of an answer.
  std::chrono::milliseconds RefutationTime{100};
  /// Announcements of a suspicion, one at each call of takeDecisions(): a lost
  /// datagram must not keep a host from refuting it.
  int Announcements = 2;
  /// Reports that are not renewed for this long do not count.
  std::chrono::milliseconds EvidenceWindow{1000};
  /// How long a verdict stands; that of a dead server counts from the first
  /// unanswered packet. Then the server is tried again.
  std::chrono::milliseconds Hold{4000};
  /// Reports come from other hosts, so their number is bounded.
  std::size_t MaxServers = 2048;
  std::size_t MaxReporters = 64;
};

/// Collects the evidence of the hosts of a zone on the backend servers that
/// this host is responsible for.
///
/// A host of a large zone sees too few packets of one server to tell its death
/// from a lost packet. All hosts together see a dead server's requests go
/// unanswered within half a second. A verdict takes two steps: the suspicion is
/// announced to the zone, and the server is dead if no host knows of an answer.
class FailureAggregator {
public:
  /// A verdict to send to the zone, or to one host.
  struct Decision {
    ServerVerdict Verdict;
    /// When the first unanswered packet was sent; for Answering, when the
    /// answer was seen.
    common::TimePoint Since;
    /// Only this host needs it.
    std::optional<std::uint32_t> OnlyTo;
    /// Set for Suspected and Dead.
    std::optional<VerdictBasis> Basis = std::nullopt;
    /// IPv4 address of the host that saw the answer; 0 if that is unknown.
    std::uint32_t AnswerSeenBy = 0;
    /// Whether it was not announced before.
    bool IsFirst = false;
  };

  explicit FailureAggregator(VerdictLimits limits = {}) : Limits(limits) {}

  /// What \p reporter (IPv4 address) has seen of the run \p startTimeMs of a
  /// server; replaces its previous report.
  void onReport(std::uint64_t identity, std::int64_t startTimeMs,
                std::uint32_t reporter,
                const routing::SilenceEvidence &evidence,
                common::TimePoint now);
  /// Host \p seenBy (IPv4 address; 0 if unknown) saw an answer at \p
  /// answeredAt.
  void onAnswer(std::uint64_t identity, common::TimePoint answeredAt,
                std::uint32_t seenBy = 0);
  /// The decisions since the last call. \p zoneHostCount: number of hosts that
  /// may report, including this one.
  std::vector<Decision> takeDecisions(const routing::AnswerQuality &quality,
                                      std::size_t zoneHostCount,
                                      common::TimePoint now);
  /// Grants announced suspicions their time to be refuted anew, after a pause
  /// in which refutations may have waited unread.
  void restartRefutation(common::TimePoint now);
  /// Discards all evidence, for example after a pause of the process.
  void clear() { Cases.clear(); }

  /// Number of servers with evidence or a verdict.
  std::size_t size() const { return Cases.size(); }

private:
  struct Report {
    std::uint32_t Reporter = 0;
    routing::SilenceEvidence Evidence;
    common::TimePoint ReceivedAt;
  };
  struct Case {
    std::int64_t StartTimeMs = 0;
    std::vector<Report> Reports;
    std::optional<VerdictKind> Verdict;
    common::TimePoint DecidedAt;
    int AnnouncementsLeft = 0;
    common::TimePoint Since; ///< First unanswered packet.
    VerdictBasis Basis;
    common::TimePoint AnsweredAt;
  };
  /// The sum of the reports.
  static routing::SilenceEvidence total(const Case &it);
  /// \p evidence: total of \p it.
  bool isSuspected(const Case &it,
                   const routing::SilenceEvidence &evidence) const;
  bool isDead(const Case &it, const routing::SilenceEvidence &evidence,
              const routing::AnswerQuality &quality, std::size_t zoneHostCount,
              common::TimePoint now) const;
  void decide(std::uint64_t identity, Case &it, VerdictKind kind,
              const VerdictBasis &basis, common::TimePoint now);

  VerdictLimits Limits;
  absl::flat_hash_map<std::uint64_t, Case> Cases;
  std::vector<Decision> Decisions;
};

} // namespace auburnroute::fleet
