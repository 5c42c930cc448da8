#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace auburnroute::routing {

/// What callers' packets showed of the requests to a server during some time.
struct OutcomeCounts {
  std::uint32_t Sent = 0;       ///< Requests.
  std::uint32_t Answered = 0;   ///< Requests.
  std::uint32_t Unanswered = 0; ///< Overdue, or given up by their callers.
  std::uint32_t Slow = 0;       ///< Answered, but far later than usual.
  std::uint32_t Syns = 0;       ///< Handshakes that completed or failed.
  std::uint32_t FailedSyns = 0;
  /// Answers on routes whose flows usually go on, after which the flow went on
  /// or ended.
  std::uint32_t Flows = 0;
  std::uint32_t EndedFlows = 0;
  std::chrono::milliseconds AnswerTime{0}; ///< Sum over Answered.

  OutcomeCounts &operator+=(const OutcomeCounts &it) {
    Sent += it.Sent;
    Answered += it.Answered;
    Unanswered += it.Unanswered;
    Slow += it.Slow;
    Syns += it.Syns;
    FailedSyns += it.FailedSyns;
    Flows += it.Flows;
    EndedFlows += it.EndedFlows;
    AnswerTime += it.AnswerTime;
    return *this;
  }
  /// Less \p it, which is a part of these counts or of slightly later ones.
  OutcomeCounts &operator-=(const OutcomeCounts &it) {
    const auto subtract = [](auto &n, auto m) { n -= std::min(n, m); };
    subtract(Sent, it.Sent);
    subtract(Answered, it.Answered);
    subtract(Unanswered, it.Unanswered);
    subtract(Slow, it.Slow);
    subtract(Syns, it.Syns);
    subtract(FailedSyns, it.FailedSyns);
    subtract(Flows, it.Flows);
    subtract(EndedFlows, it.EndedFlows);
    subtract(AnswerTime, it.AnswerTime);
    return *this;
  }

  std::uint32_t requests() const { return Answered + Unanswered; }
  std::uint32_t failures() const {
    return Unanswered + Slow + FailedSyns + EndedFlows;
  }
  /// 0 without an answer.
  std::chrono::milliseconds meanTime() const {
    return Answered == 0 ? std::chrono::milliseconds(0) : AnswerTime / Answered;
  }
};

} // namespace auburnroute::routing
