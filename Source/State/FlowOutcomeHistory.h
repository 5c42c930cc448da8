#pragma once

#include "Common/Clock.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace auburnroute::state {

/// Number of flows of a service by outcome within a period.
struct FlowOutcomeCounts {
  std::uint64_t Good = 0;    ///< Ended by the backend server's FIN.
  std::uint64_t Refused = 0; ///< Reset before any payload was forwarded.
  std::uint64_t Broken = 0;  ///< Reset after they were established.
  std::uint64_t Slow = 0;    ///< Waited longer than the wait objective.
  std::uint64_t Placed = 0;  ///< Given to a backend server.

  FlowOutcomeCounts &operator+=(const FlowOutcomeCounts &other);
  std::uint64_t total() const { return Good + Refused + Broken; }
  std::uint64_t bad() const { return Refused + Broken; }
  bool operator==(const FlowOutcomeCounts &) const = default;
};

/// Flow outcomes per service and minute, kept for the longest alert window.
class FlowOutcomeHistory {
public:
  static constexpr std::chrono::hours Retention{72};

  /// Adds counts to the minute of \p now.
  void add(common::WallTime now, const std::string &service,
           const FlowOutcomeCounts &counts);
  /// Sum over the last \p window, the current minute included.
  FlowOutcomeCounts sum(common::WallTime now, const std::string &service,
                        std::chrono::minutes window) const;
  /// Counts of the last \p n minutes, oldest first, the current one last.
  std::vector<FlowOutcomeCounts> minutes(common::WallTime now,
                                         const std::string &service,
                                         std::size_t n) const;
  std::vector<std::string> services() const;

private:
  struct MinuteCounts {
    std::uint64_t Minute = 0;
    FlowOutcomeCounts Counts;
  };
  std::map<std::string, std::deque<MinuteCounts>> ByService;
};

} // namespace auburnroute::state
