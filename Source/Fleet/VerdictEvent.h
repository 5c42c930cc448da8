#pragma once

#include "Fleet/GossipMessage.h"
#include "Routing/ServerDirectory.h"
#include "Routing/SilenceRule.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace auburnroute::fleet {

/// What an evidence owner decided a verdict from.
struct VerdictBasis {
  routing::SilenceEvidence Evidence; ///< Sum of the reports.
  routing::AnswerQuality Quality;    ///< Of the deciding host.
  std::size_t ReporterCount = 0;     ///< Hosts whose packets went unanswered.
};

/// A verdict that this host decided or took over from another one.
struct VerdictEvent {
  routing::ServerId Server = 0;
  VerdictKind Kind = VerdictKind::Suspected;
  /// Since the first unanswered packet, or since the answer.
  std::chrono::milliseconds Age{0};
  /// IPv4 address of the host that collected the evidence.
  std::uint32_t DecidedBy = 0;
  /// Whether it changes what this host holds of the server.
  bool IsNew = true;
  /// Set if this host decided on a suspicion or a death.
  std::optional<VerdictBasis> Basis = std::nullopt;
  /// IPv4 address of the host that saw the answer; 0 if that is unknown.
  std::uint32_t AnswerSeenBy = 0;
};

/// What ended a verdict that a server is suspected or dead.
enum class VerdictEndReason : std::uint8_t {
  Answer,        ///< This host saw an answer.
  PeerAnswer,    ///< Another host saw one.
  Time,          ///< It stood for as long as a verdict may.
  ServerChanged, ///< The server was removed or restarted.
};

std::string_view toString(VerdictEndReason why);

/// The end of a verdict on this host.
struct VerdictEnd {
  routing::ServerId Server = 0;
  VerdictKind Kind = VerdictKind::Suspected;
  VerdictEndReason Why = VerdictEndReason::Time;
  std::chrono::milliseconds Duration{0}; ///< On this host.
  /// Since the answer, or since the verdict ended otherwise.
  std::chrono::milliseconds Age{0};
  /// IPv4 address of the host that decided the verdict.
  std::uint32_t DecidedBy = 0;
  /// IPv4 address of the host that told of the answer; 0 without one.
  std::uint32_t ToldBy = 0;
  /// IPv4 address of the host that saw the answer; 0 if that is unknown.
  std::uint32_t AnswerSeenBy = 0;
};

} // namespace auburnroute::fleet
