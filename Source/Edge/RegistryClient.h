#pragma once

#include "Common/Clock.h"
#include "Edge/EventRecorder.h"
#include "Fleet/RegistryReader.h"
#include "Reactor/AsyncHttpClient.h"

#include <functional>
#include <optional>

namespace auburnroute::edge {

/// Carries out the calls of a RegistryReader.
class RegistryClient {
public:
  /// References must outlive the object. \p onAnswer is called after each
  /// answer or failure.
  RegistryClient(boost::asio::io_context &loop, common::Endpoint registry,
                 fleet::RegistryReader &reader, const common::Clock &clock,
                 fleet::CauseHistory &history, EventLog &log,
                 EdgeMetrics &metrics, std::function<void()> onAnswer);

  /// Sends the next call if one is due.
  void poll();

private:
  void onResult(const fleet::RegistryCall &call,
                const absl::StatusOr<common::HttpResponse> &result);
  void onFailure(fleet::RegistryFailure failure, std::string_view reason);
  void reportReachability(bool reachable, std::string_view reason);

  reactor::AsyncHttpClient Http;
  fleet::RegistryReader &Reader;
  const common::Clock &Clock;
  fleet::CauseHistory &History;
  EventLog &Log;
  EdgeMetrics &Metrics;
  std::function<void()> OnAnswer;
  std::optional<bool> ReportedReachable; ///< As last reported.
};

} // namespace auburnroute::edge
