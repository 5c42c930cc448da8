#pragma once

#include "Common/Clock.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace auburnroute::standins {

/// Outcomes of the requests and feeds of a run, as observed by the callers.
struct CallerLog {
  /// A request that may or may not have run.
  struct UnknownRequest {
    std::string Id;
    std::string Service;
    common::TimePoint StartedAt;
    common::TimePoint EndedAt;
    std::string Reason;
  };
  /// A feed that ended without being closed by its caller.
  struct BrokenFeed {
    common::TimePoint EndedAt;
    common::TimePoint LastReceivedAt; ///< When data last arrived.
    std::string Service;
    std::string Server; ///< Backend server; empty before its first message.
    std::string Reason;
  };

  std::uint64_t RequestsSent = 0;
  std::uint64_t RequestsSkipped = 0; ///< Not sent: no free port.
  std::vector<std::string> Answered; ///< Ids.
  /// Ids of the requests whose connection was never established.
  std::vector<std::string> KnownNotRun;
  std::vector<UnknownRequest> UnknownOutcomes;
  /// Response time minus work time of each answered request.
  std::vector<std::chrono::milliseconds> WaitTimes;
  std::uint64_t WrongAnswers = 0;
  std::uint64_t FeedsOpened = 0;
  std::uint64_t FeedsRefused = 0; ///< Failed connection attempts.
  std::uint64_t FeedMessages = 0;
  std::vector<BrokenFeed> BrokenFeeds;
  /// Longest time without data on an open feed.
  std::chrono::milliseconds MaxFeedIdleTime{0};
};

} // namespace auburnroute::standins
