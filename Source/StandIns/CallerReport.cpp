#include "StandIns/CallerReport.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace auburnroute::standins {

namespace {

using Json = nlohmann::json;

/// Nearest-rank quantile in milliseconds; 0 if \p values is empty.
std::int64_t quantile(std::vector<std::chrono::milliseconds> values,
                      double share) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(values.size())));
  return values[std::max<std::size_t>(rank, 1) - 1].count();
}

} // namespace

CallerReport::CallerReport(const CallerStandIn &callers,
                           common::TimePoint monotonic, common::WallTime wall)
    : Callers(callers), Monotonic(monotonic), Wall(wall) {}

double CallerReport::epochSeconds(common::TimePoint time) const {
  const std::chrono::duration<double> wall = Wall.time_since_epoch();
  const std::chrono::duration<double> since = time - Monotonic;
  return (wall + since).count();
}

std::string CallerReport::summary() const {
  const auto &log = Callers.log();
  const auto &tcp = Callers.tcpCounters();
  Json broken = Json::array();
  for (const auto &it : log.BrokenFeeds)
    broken.push_back({{"time", epochSeconds(it.EndedAt)},
                      {"last_received", epochSeconds(it.LastReceivedAt)},
                      {"service", it.Service},
                      {"server", it.Server},
                      {"reason", it.Reason}});
  const Json summary = {{"requests_sent", log.RequestsSent},
                        {"requests_skipped", log.RequestsSkipped},
                        {"requests_answered", log.Answered.size()},
                        {"requests_told_not_run", log.KnownNotRun.size()},
                        {"requests_unknown", log.UnknownOutcomes.size()},
                        {"wrong_answers", log.WrongAnswers},
                        {"feeds_opened", log.FeedsOpened},
                        {"feeds_refused", log.FeedsRefused},
                        {"feeds_broken", broken},
                        {"feed_messages", log.FeedMessages},
                        {"feed_silence_max_ms", log.MaxFeedIdleTime.count()},
                        {"late_segments_dropped", tcp.LateSegments},
                        {"checksum_errors", tcp.ChecksumErrors},
                        {"retransmissions", tcp.Retransmissions},
                        {"wait_p50_ms", quantile(log.WaitTimes, 0.50)},
                        {"wait_p99_ms", quantile(log.WaitTimes, 0.99)}};
  return summary.dump();
}

std::string CallerReport::requestIds() const {
  const auto &log = Callers.log();
  Json unknown = Json::array();
  Json details = Json::array();
  for (const auto &it : log.UnknownOutcomes) {
    unknown.push_back(it.Id);
    details.push_back({{"id", it.Id},
                       {"service", it.Service},
                       {"started", epochSeconds(it.StartedAt)},
                       {"ended", epochSeconds(it.EndedAt)},
                       {"reason", it.Reason}});
  }
  const Json ids = {{"answered", log.Answered},
                    {"told_not_run", log.KnownNotRun},
                    {"unknown", unknown},
                    {"unknown_details", details}};
  return ids.dump();
}

} // namespace auburnroute::standins
