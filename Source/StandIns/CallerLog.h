#pragma once

#include "Common/Clock.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace auburnroute::standins {

/// Outcomes of the requests and feeds of a run, as the callers saw them.
struct CallerLog {
  /// A request whose outcome is unknown.
  struct UnknownRequest {
    std::string Id;
    std::string Service;
    common::TimePoint Started;
    common::TimePoint Ended;
    std::string Reason;
  };
  /// A feed that ended although its caller had not closed it.
  struct BrokenFeed {
    common::TimePoint EndedAt;
    common::TimePoint LastReceived; ///< When it last received something.
    std::string Service;
    std::string Server; ///< Backend server; empty before its first message.
    std::string Reason;
  };

  std::uint64_t RequestsSent = 0;
  std::uint64_t RequestsSkipped = 0; ///< Not sent: no free port.
  std::vector<std::string> Answered;
  std::vector<std::string> KnownNotRun;
  std::vector<UnknownRequest> UnknownOutcomes;
  /// Time to the answer less the work time, of answered requests.
  std::vector<std::chrono::milliseconds> WaitTimes;
  std::uint64_t WrongAnswers = 0;
  std::uint64_t FeedsOpened = 0;
  std::uint64_t FeedsRefused = 0; ///< Attempts that were not established.
  std::uint64_t FeedMessages = 0;
  std::vector<BrokenFeed> BrokenFeeds;
  /// Longest time that an open feed received nothing.
  std::chrono::milliseconds MaxFeedIdleTime{0};
};

} // namespace auburnroute::standins
