#include "Daemon/Daemon.h"

#include "Common/Log.h"
#include "Common/Text.h"
#include "Daemon/AdmissionWorker.h"
#include "Daemon/ControlActor.h"
#include "Daemon/LoadPoller.h"
#include "Daemon/PlatformReader.h"
#include "Daemon/TrafficWorker.h"
#include "Transport/HttpServer.h"
#include "Transport/PeerLink.h"

#include "absl/strings/str_cat.h"

#include <csignal>
#include <thread>

namespace auburnroute::daemon {

namespace {

using common::LogLevel;

constexpr std::chrono::seconds ReportTimeout{1};
constexpr std::chrono::milliseconds StopCheckInterval{20};
// Upper bound of the time that an outgoing frame waits in the link's mailbox.
constexpr std::chrono::milliseconds LinkPollTimeout{5};
constexpr std::chrono::milliseconds SummaryInterval{200};
// Time for the last frames to reach the peers before the link closes.
constexpr std::chrono::milliseconds FinalFlushTime{100};

/// Blocks the signals that stop the daemon, so that sigwait() receives them.
/// Must be called before any thread starts, as threads inherit the mask.
sigset_t blockStopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  return set;
}

/// Owns the threads and sockets of a running daemon.
class Runtime {
public:
  Runtime(const state::DaemonSettings &settings, const common::Clock &clock)
      : Settings(settings), Clock(clock), System(Config) {}

  absl::Status start();
  /// Reports not ready, then waits until no packet has arrived for stopQuiet
  /// and no SYN is held, at most stopTimeout.
  void drain();
  /// Stops and joins all threads.
  void shutdown();

private:
  absl::Status createTraffic();
  void startTraffic();
  absl::Status startOperatorServer();
  void startControl();
  void startLink(transport::PeerLink link);
  void startAdmission(transport::UdpSocket socket);
  void startLoadPoller();
  void createPlatformReaders();
  void startPlatformReaders();
  /// Asks the control actor; fails after ReportTimeout.
  Report requestReport(ReportQuery query);
  /// Counters summed over all threads, as Prometheus text.
  std::string countersText() const;

  const state::DaemonSettings &Settings;
  const common::Clock &Clock;
  std::atomic<bool> Stop{false};
  SnapshotPublisher Snapshots;
  caf::actor_system_config Config;
  caf::actor_system System;
  caf::actor Control;
  caf::actor Admission;
  caf::actor Link;
  std::atomic<std::uint64_t> LinkBytesSent{0};
  std::atomic<std::uint64_t> LinkBytesReceived{0};
  std::vector<std::unique_ptr<TrafficWorker>> TrafficWorkers;
  std::unique_ptr<AdmissionWorker> AdmissionLoop;
  std::unique_ptr<LoadPoller> Poller;
  std::unique_ptr<PlatformReader> SettingsReader;
  std::unique_ptr<PlatformReader> HostListReader;
  transport::HttpServer OperatorServer;
};

absl::Status Runtime::start() {
  auto admission = transport::UdpSocket::bind(Settings.Admission, false);
  if (!admission.ok())
    return admission.status();
  auto link = transport::PeerLink::bind(Settings.Peer);
  if (!link.ok())
    return link.status();
  if (auto status = createTraffic(); !status.ok())
    return status;
  createPlatformReaders();
  startControl();
  startTraffic();
  startLink(*std::move(link));
  startAdmission(*std::move(admission));
  startLoadPoller();
  startPlatformReaders();
  return startOperatorServer();
}

absl::Status Runtime::createTraffic() {
  for (std::uint32_t i = 0; i < Settings.TrafficThreads; ++i) {
    auto socket = transport::UdpSocket::bind(Settings.Packets,
                                             Settings.TrafficThreads > 1);
    if (!socket.ok())
      return socket.status();
    TrafficWorkers.push_back(std::make_unique<TrafficWorker>(
        Settings, Clock, Snapshots, *std::move(socket),
        [this](common::Endpoint owner) {
          caf::anon_send(Control, OwnerUnresponsive{owner});
        }));
  }
  return absl::OkStatus();
}

void Runtime::startTraffic() {
  for (auto &it : TrafficWorkers) {
    it->setSummaryFunction([this](AdmissionSummary summary) {
      caf::anon_send(Control, std::move(summary));
    });
    System.spawn<caf::detached>(
        [this, worker = it.get()](caf::blocking_actor *) {
          worker->run(Stop);
        });
  }
}

void Runtime::startControl() {
  ControlCallbacks callbacks;
  callbacks.SendFrame = [this](PeerFrame frame) {
    caf::anon_send(Link, PeerFrameToSend{frame.To, std::move(frame.Bytes)});
  };
  callbacks.ConfigureReaders = [this](bool enabled, std::uint64_t revision,
                                      std::uint64_t version) {
    if (!SettingsReader)
      return;
    SettingsReader->configure(enabled, revision);
    HostListReader->configure(enabled, version);
  };
  callbacks.LinkByteCounts = [this] {
    return std::pair{LinkBytesSent.load(), LinkBytesReceived.load()};
  };
  Control = System.spawn<ControlActor>(Settings, Clock, Snapshots,
                                       std::move(callbacks));
}

void Runtime::startLink(transport::PeerLink link) {
  Link = System.spawn<caf::detached>(
      [this, peers = std::make_shared<transport::PeerLink>(std::move(link))](
          caf::blocking_actor *self) {
        while (!Stop) {
          peers->poll(LinkPollTimeout, [this](std::string_view frame) {
            caf::anon_send(Control, PeerFrameReceived{std::string(frame)});
          });
          while (self->has_next_message())
            self->receive([&](const PeerFrameToSend &it) {
              peers->send(it.To, it.Bytes);
            });
          LinkBytesSent = peers->counters().BytesSent;
          LinkBytesReceived = peers->counters().BytesReceived;
        }
      });
}

void Runtime::startAdmission(transport::UdpSocket socket) {
  AdmissionLoop = std::make_unique<AdmissionWorker>(Settings, Clock, Snapshots,
                                                    std::move(socket));
  Admission = System.spawn<caf::detached>([this](caf::blocking_actor *self) {
    auto nextSummary = Clock.now();
    while (!Stop) {
      AdmissionLoop->runOnce();
      while (self->has_next_message())
        self->receive([this](const BackendServerPollResult &it) {
          if (it.Report)
            AdmissionLoop->onLoadReport(it.Revision, it.BackendServer,
                                        *it.Report);
          else
            AdmissionLoop->onReportFailure(it.Revision, it.BackendServer);
        });
      if (Clock.now() < nextSummary)
        continue;
      nextSummary = Clock.now() + SummaryInterval;
      caf::anon_send(Control, AdmissionLoop->takeSummary());
    }
  });
}

void Runtime::startLoadPoller() {
  Poller = std::make_unique<LoadPoller>(
      Settings.Admission, Settings.Zone, Clock, Snapshots,
      [this](const BackendServerPollResult &it) {
        caf::anon_send(Admission, it);
      });
  System.spawn<caf::detached>(
      [this](caf::blocking_actor *) { Poller->run(Stop); });
}

void Runtime::createPlatformReaders() {
  if (!Settings.Platform)
    return;
  SettingsReader = std::make_unique<PlatformReader>(
      *Settings.Platform, "/settings",
      [this](std::string text) {
        caf::anon_send(Control, PlatformSettings{std::move(text)});
      },
      [this](const PlatformReachability &it) { caf::anon_send(Control, it); });
  HostListReader = std::make_unique<PlatformReader>(
      *Settings.Platform, "/hosts",
      [this](std::string text) {
        caf::anon_send(Control, PlatformHosts{std::move(text)});
      },
      // The settings reader reports reachability for both.
      [](const PlatformReachability &) {});
}

void Runtime::startPlatformReaders() {
  for (auto *it : {SettingsReader.get(), HostListReader.get()})
    if (it != nullptr)
      System.spawn<caf::detached>(
          [this, it](caf::blocking_actor *) { it->run(Stop); });
}

Report Runtime::requestReport(ReportQuery query) {
  Report report{false, absl::StrCat("no answer from the control thread within ",
                                    ReportTimeout.count(), " s\n")};
  caf::scoped_actor self{System};
  self->request(Control, ReportTimeout, query)
      .receive([&](const Report &it) { report = it; }, [](caf::error &) {});
  return report;
}

std::string Runtime::countersText() const {
  std::vector<const state::CounterSet *> sets{&AdmissionLoop->counters()};
  for (const auto &it : TrafficWorkers)
    sets.push_back(&it->counters());
  for (const auto *it : {SettingsReader.get(), HostListReader.get()})
    if (it != nullptr)
      sets.push_back(&it->counters());
  const auto sum = [&](auto which) {
    std::uint64_t total = 0;
    for (const auto *it : sets)
      total += it->value(which);
    return total;
  };
  std::string text;
  for (int i = 0; i < static_cast<int>(state::Counter::Count); ++i) {
    const auto counter = static_cast<state::Counter>(i);
    const auto name = common::toAbsl(state::toString(counter));
    absl::StrAppend(&text, "# TYPE auburnroute_", name,
                    " counter\nauburnroute_", name, " ", sum(counter), "\n");
  }
  text += "# TYPE auburnroute_causes_total counter\n";
  for (int i = 1; i < static_cast<int>(state::Cause::Count); ++i) {
    const auto why = static_cast<state::Cause>(i);
    absl::StrAppend(&text, "auburnroute_causes_total{cause=\"",
                    common::toAbsl(state::toString(why)), "\"} ", sum(why),
                    "\n");
  }
  return text;
}

absl::Status Runtime::startOperatorServer() {
  const auto serve = [this](const char *path, const char *type,
                            ReportQuery::Kind kind) {
    OperatorServer.serve(
        path, type, [this, kind](const transport::HttpParameters &parameters) {
          ReportQuery query{kind, std::chrono::hours(1)};
          if (const auto it = parameters.find("since"); it != parameters.end())
            query.Since = std::chrono::seconds(std::atoll(it->second.c_str()));
          auto report = requestReport(query);
          if (kind == ReportQuery::Kind::Metrics)
            report.Text += countersText();
          return common::HttpResponse{report.IsOk
                                          ? common::HttpResponse::Ok
                                          : common::HttpResponse::Unavailable,
                                      report.Text};
        });
  };
  serve("/status", "application/json", ReportQuery::Kind::Status);
  serve("/ready", "text/plain", ReportQuery::Kind::Ready);
  serve("/metrics", "text/plain; version=0.0.4", ReportQuery::Kind::Metrics);
  serve("/cause", "application/json", ReportQuery::Kind::Cause);
  serve("/burn", "application/json", ReportQuery::Kind::Burn);
  return OperatorServer.start(Settings.Operator);
}

void Runtime::drain() {
  caf::anon_send(Control, BeginStop{});
  const auto begun = Clock.now();
  const auto isQuiet = [this] {
    const auto now = Clock.now().time_since_epoch();
    for (const auto &it : TrafficWorkers)
      if (now - std::chrono::nanoseconds(it->lastPacketNanoseconds()) <
          Settings.StopQuiet)
        return false;
    return AdmissionLoop->heldFlows() == 0;
  };
  // Waits at least stopQuiet, as the fabric needs time to notice that the host
  // is not ready.
  while (Clock.now() - begun < Settings.StopTimeout &&
         (Clock.now() - begun < Settings.StopQuiet || !isQuiet()))
    std::this_thread::sleep_for(StopCheckInterval);
  if (isQuiet())
    return;
  caf::anon_send(Control, StopTimedOut{});
  common::logLine(LogLevel::Warning,
                  absl::StrCat("graceful stop reached stopTimeout with packets "
                               "still arriving and ",
                               AdmissionLoop->heldFlows(), " SYNs held"));
  // The StopTimeout cause must reach the peers before the link closes.
  std::this_thread::sleep_for(FinalFlushTime);
}

void Runtime::shutdown() {
  OperatorServer.stop();
  Stop = true;
  if (Control)
    caf::anon_send_exit(Control, caf::exit_reason::user_shutdown);
  System.await_all_actors_done();
}

} // namespace

absl::Status runDaemon(const state::DaemonSettings &settings,
                       const common::Clock &clock) {
  const auto signals = blockStopSignals();
  Runtime runtime(settings, clock);
  if (auto status = runtime.start(); !status.ok()) {
    runtime.shutdown();
    return status;
  }
  common::logLine(LogLevel::Info,
                  absl::StrCat("host ", settings.Host,
                               " started, receiving packets on ",
                               common::toString(settings.Packets)));
  int received = 0;
  sigwait(&signals, &received);
  common::logLine(LogLevel::Info, "graceful stop started");
  runtime.drain();
  runtime.shutdown();
  common::logLine(LogLevel::Info, "graceful stop complete");
  return absl::OkStatus();
}

} // namespace auburnroute::daemon
