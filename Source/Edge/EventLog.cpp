#include "Edge/EventLog.h"

#include "Common/EpochTime.h"
#include "Common/Text.h"

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <cerrno>

#include <poll.h>
#include <unistd.h>

namespace auburnroute::edge {

/// Buffers formatted lines. Needs no mutex, as the log is used from one thread.
class EventLog::Sink final
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
  std::uint64_t takeDropped() { return std::exchange(Dropped, 0); }

protected:
  void sink_it_(const spdlog::details::log_msg &msg) override {
    if (Pending.size() + msg.payload.size() + 1 > MaxPendingBytes) {
      ++Dropped;
      return;
    }
    Pending.append(msg.payload.data(), msg.payload.size());
    Pending.push_back('\n');
  }

  void flush_() override {
    while (!Pending.empty()) {
      // Other processes may share the descriptor, so it is not made
      // non-blocking. A pipe that polls as writable takes at least PIPE_BUF
      // bytes without blocking.
      pollfd pfd{STDOUT_FILENO, POLLOUT, 0};
      if (::poll(&pfd, 1, 0) <= 0 || (pfd.revents & POLLOUT) == 0)
        return;
      const auto n = ::write(STDOUT_FILENO, Pending.data(),
                             std::min(Pending.size(), MaxWriteBytes));
      if (n <= 0)
        return;
      Pending.erase(0, static_cast<std::size_t>(n));
    }
  }

private:
  static constexpr std::size_t MaxWriteBytes = 4096; ///< PIPE_BUF on Linux.

  std::string Pending;
  std::uint64_t Dropped = 0;
};

std::string_view toString(LogEvent event) {
  switch (event) {
  case LogEvent::Start:
    return "start";
  case LogEvent::Stop:
    return "stop";
  case LogEvent::Reload:
    return "reload";
  case LogEvent::Ready:
    return "ready";
  case LogEvent::Pause:
    return "pause";
  case LogEvent::Configuration:
    return "configuration";
  case LogEvent::Server:
    return "server";
  case LogEvent::Registry:
    return "registry";
  case LogEvent::RegistryRead:
    return "registry_read";
  case LogEvent::RegistryEra:
    return "registry_era";
  case LogEvent::Evacuation:
    return "evacuation";
  case LogEvent::EntryRejected:
    return "entry_rejected";
  case LogEvent::Peer:
    return "peer";
  case LogEvent::ViewFetch:
    return "view_fetch";
  case LogEvent::Placed:
    return "placed";
  case LogEvent::ColdStart:
    return "cold_start";
  case LogEvent::ColdLimited:
    return "cold_limited";
  case LogEvent::Refused:
    return "refused";
  case LogEvent::Suspected:
    return "suspected";
  case LogEvent::Cleared:
    return "cleared";
  case LogEvent::Verdict:
    return "verdict";
  case LogEvent::VerdictEnded:
    return "verdict_ended";
  case LogEvent::VerdictRejected:
    return "verdict_rejected";
  case LogEvent::LoadSharing:
    return "load_sharing";
  case LogEvent::Degraded:
    return "degraded";
  case LogEvent::DegradedEnded:
    return "degraded_ended";
  case LogEvent::Late:
    return "late";
  case LogEvent::ZoneShare:
    return "zone_share";
  case LogEvent::Overload:
    return "overload";
  case LogEvent::LogDropped:
    return "log_dropped";
  case LogEvent::Count:
    break;
  }
  return "invalid";
}

std::string EventLog::quoted(std::string_view text, std::size_t maxBytes) {
  std::string out = "\"";
  for (const char ch : text.substr(0, maxBytes)) {
    if (ch == '"' || ch == '\\')
      out.push_back('\\');
    out.push_back(absl::ascii_isprint(static_cast<unsigned char>(ch)) ? ch
                                                                      : '?');
  }
  out.push_back('"');
  return out;
}

EventLog::EventLog(const common::Clock &clock)
    : Clock(clock), Output(std::make_shared<Sink>()),
      Logger(std::make_shared<spdlog::logger>("auburnroute", Output)) {}

EventLog::~EventLog() { flush(); }

bool EventLog::tryAdmit(LogEvent event) {
  const auto now = Clock.now();
  if (now - RefilledAt >= std::chrono::seconds(1)) {
    RefilledAt = now;
    for (auto &it : RateLimits)
      it.LinesLeft = MaxLinesPerSecond;
  }
  auto &limit = RateLimits[static_cast<std::size_t>(event)];
  if (limit.LinesLeft == 0) {
    ++limit.Dropped;
    ++DroppedTotal;
    return false;
  }
  --limit.LinesLeft;
  return true;
}

void EventLog::write(LogEvent event, std::string_view fields) {
  Logger->info("{{\"time_ms\":{},\"event\":\"{}\"{}{}}}",
               common::toEpochMilliseconds(Clock.wallTime()), toString(event),
               fields.empty() ? "" : ",", fields);
}

void EventLog::flush() {
  for (std::size_t i = 0; i < RateLimits.size(); ++i)
    if (const auto n = std::exchange(RateLimits[i].Dropped, 0); n > 0)
      write(LogEvent::LogDropped,
            absl::StrCat("\"kind\":\"",
                         common::toAbsl(toString(static_cast<LogEvent>(i))),
                         "\",\"lines\":", n));
  if (const auto n = Output->takeDropped(); n > 0) {
    DroppedTotal += n;
    write(LogEvent::LogDropped,
          absl::StrCat("\"kind\":\"unread\",\"lines\":", n));
  }
  Logger->flush();
}

} // namespace auburnroute::edge
