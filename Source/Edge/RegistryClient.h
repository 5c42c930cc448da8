#pragma once

#include "Common/Clock.h"
#include "Edge/EventRecorder.h"
#include "Fleet/RegistryReader.h"
#include "Reactor/AsyncHttpClient.h"

#include <functional>
#include <optional>

namespace auburnroute::edge {

/// Sends the calls that a RegistryReader schedules to the registry and passes
/// the responses back to it.
class RegistryClient {
public:
  /// References must outlive the object. \p onAnswer is called after each
  /// response or failure.
  RegistryClient(boost::asio::io_context &loop, common::Endpoint registry,
                 fleet::RegistryReader &reader, const common::Clock &clock,
                 fleet::CauseHistory &history, EventLog &log,
                 EventRecorder &recorder, std::function<void()> onAnswer);

  /// Sends the next call if one is due.
  void poll();

private:
  void onResult(const fleet::RegistryCall &call,
                const absl::StatusOr<common::HttpResponse> &result);
  void onFailure(fleet::RegistryFailure failure, std::string_view reason);
  /// Counts a failed call and logs its reason if the one before succeeded.
  void reportFailure(std::string_view reason);
  /// Takes the page out of a response to \p call with status 200.
  void onBody(const fleet::RegistryCall &call, std::uint64_t era,
              std::string_view body);
  /// Logs an answer that tells more than that nothing has changed. \p entries
  /// and \p outdated: number of entries in it, and of those not applied.
  void reportRead(const fleet::RegistryCall &call, int status,
                  std::uint64_t era, std::uint64_t revision,
                  std::size_t entries, std::uint64_t outdated);
  /// Logs \p reachable if it differs from the value reported last.
  void reportReachability(bool reachable, std::string_view reason);

  void logReachability(bool reachable, std::string_view reason);

  reactor::AsyncHttpClient Http;
  fleet::RegistryReader &Reader;
  const common::Clock &Clock;
  fleet::CauseHistory &History;
  EventLog &Log;
  EventRecorder &Recorder;
  EdgeMetrics &Metrics;
  std::function<void()> OnAnswer;
  std::optional<bool> ReportedReachable; ///< Unset before the first report.
};

} // namespace auburnroute::edge
