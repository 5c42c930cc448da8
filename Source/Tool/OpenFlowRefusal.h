#pragma once

#include "Tool/LogArchive.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/btree_map.h"

namespace auburnroute::tool {

/// Explains from the log lines of several hosts why a host reset an open flow,
/// or dropped its packets since it did not know their server or route.
class OpenFlowRefusal {
public:
  /// Answers that were seen less than this long after a reset do not show that
  /// the server was alive at that time: clocks of hosts differ, and a host sees
  /// an answer when the caller acknowledges it.
  static constexpr std::int64_t MinAnswerDelayMs = 100;
  /// Lines of several hosts that are at most this long apart may tell of the
  /// same answer: ages are rounded, and messages take some ms.
  static constexpr std::int64_t SameAnswerMs = 50;
  /// Lines of one verdict differ by at most this much in the time of the first
  /// unanswered packet, as clocks of hosts differ.
  static constexpr std::int64_t MaxVerdictDistanceMs = 1000;

  /// Whether \p line tells of a packet of an open flow that this class
  /// explains.
  static bool isExplained(const LogLine &line);
  /// Explains \p line, the first of \p count alike. \p archive must outlive the
  /// object.
  OpenFlowRefusal(const LogLine &line, std::size_t count, LogArchive &archive);

  const std::vector<std::string> &causes() const { return Causes; }
  const std::vector<std::string> &unknowns() const { return Unknowns; }
  /// The server of the flow; empty if it is unknown.
  const std::string &server() const { return Server; }

private:
  /// An answer of the server that a host saw or was told of.
  struct Answer {
    std::int64_t TimeMs = 0;
    std::string Witness; ///< "HOST saw an answer of SERVER" or the like.
    bool WasSeen = false;
  };

  void explainVerdict();
  void explainLapsed();
  void explainAddressTaken();
  void explainUnknownServer();
  /// Tells which evidence the deciding host had for \p verdict.
  void explainEvidence(const LogLine &verdict);
  /// Tells whether any host saw an answer after the refusal, or during the
  /// silence since \p silentSinceMs.
  void explainAnswers(std::int64_t silentSinceMs);
  std::vector<Answer> answers() const;
  /// The last line that \p accept takes, not after the refusal; null if there
  /// is none.
  template <typename Predicate> const LogLine *lastBefore(Predicate accept);
  /// The name in the logs of the host with \p address, and the address.
  std::string hostAt(const std::string &address) const;
  std::string tagOwner() const;
  /// "N ms before", for a time before the refusal.
  std::string before(std::int64_t timeMs) const;
  /// The unanswered packets that the refusing host itself knew of.
  std::string ownEvidence() const;

  const LogLine &Line;
  std::size_t Count;
  LogArchive &Archive;
  bool IsReset;
  std::string Server;
  absl::btree_map<std::string, std::string> HostByAddress;
  std::vector<std::string> Causes;
  std::vector<std::string> Unknowns;
};

} // namespace auburnroute::tool
