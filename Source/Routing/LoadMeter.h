#pragma once

#include "Common/Clock.h"

#include <chrono>
#include <cstdint>

namespace auburnroute::routing {

/// Requests and flows of one backend server as this host counts them, with
/// exponentially weighted means. Unlike the phases of flows, which serve the
/// failure detection, a request counts until it is answered.
class LoadMeter {
public:
  /// Time constant of the means. Shorter ones follow single requests, longer
  /// ones lag behind bursts.
  static constexpr std::chrono::milliseconds TimeConstant{1500};

  void onRequest(common::TimePoint now);
  void onRequestEnd(common::TimePoint now);
  void onFlow() { ++FlowCount; }
  void onFlowEnd() { FlowCount -= FlowCount > 0; }

  /// Requests sent and not answered.
  std::uint32_t outstanding() const { return Count; }
  /// Open flows whose packets come to this host.
  std::uint32_t flows() const { return FlowCount; }
  /// Time-weighted mean of outstanding().
  double meanOutstanding(common::TimePoint now) const;
  /// Requests a second.
  double rate(common::TimePoint now) const;

private:
  /// Brings the means up to date.
  void advance(common::TimePoint now);
  /// The weight that values of UpdatedAt have in a mean at \p now.
  double decay(common::TimePoint now) const;

  std::uint32_t Count = 0;
  std::uint32_t FlowCount = 0;
  double Mean = 0;
  double Rate = 0;
  common::TimePoint UpdatedAt;
};

} // namespace auburnroute::routing
