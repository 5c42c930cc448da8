#include "Daemon/Daemon.h"

#include "Common/Log.h"
#include "Daemon/AdmissionWorker.h"
#include "Daemon/ControlActor.h"
#include "Daemon/LoadPoller.h"
#include "Daemon/PlatformReader.h"
#include "Daemon/TrafficWorker.h"
#include "Transport/HttpServer.h"

#include "absl/strings/str_cat.h"

#include <csignal>
#include <nlohmann/json.hpp>
#include <thread>

namespace auburnroute::daemon {

namespace {

using common::LogLevel;

constexpr std::chrono::seconds ReportTimeout{1};
constexpr std::chrono::milliseconds StopCheckInterval{20};

/// The version field of a platform document, or 0.
std::uint64_t versionOf(const std::string &text, const char *key) {
  const auto root = nlohmann::json::parse(text, nullptr, false, true);
  const auto it = root.is_object() ? root.find(key) : root.end();
  return it != root.end() && it->is_number_unsigned() ? it->get<std::uint64_t>()
                                                      : 0;
}

/// Blocks the signals that end the daemon, so that only wait() takes them.
/// Must be called before any thread starts.
sigset_t blockStopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  return set;
}

/// The threads of a running daemon.
class Runtime {
public:
  Runtime(const state::DaemonSettings &settings, const common::Clock &clock)
      : Settings(settings), Clock(clock), System(Config) {}

  absl::Status start();
  /// Goes unready and waits until the fabric sends nothing more or the time is
  /// over.
  void drain();
  /// Ends all threads.
  void shutdown();

private:
  absl::Status startTraffic();
  absl::Status startOperatorServer();
  void startAdmission(transport::UdpSocket socket);
  void startPlatformReaders();
  Report ask(ReportQuery query);

  const state::DaemonSettings &Settings;
  const common::Clock &Clock;
  std::atomic<bool> Stop{false};
  SnapshotPublisher Snapshots;
  caf::actor_system_config Config;
  caf::actor_system System;
  caf::actor Control;
  caf::actor Admission;
  std::vector<std::unique_ptr<TrafficWorker>> Workers;
  std::unique_ptr<AdmissionWorker> AdmissionCore;
  std::unique_ptr<LoadPoller> Poller;
  std::vector<std::unique_ptr<PlatformReader>> Readers;
  transport::HttpServer Operators;
};

absl::Status Runtime::start() {
  auto admission = transport::UdpSocket::bind(Settings.Admission, false);
  if (!admission.ok())
    return admission.status();
  if (auto status = startTraffic(); !status.ok())
    return status;
  Control = System.spawn<ControlActor>(Settings, Clock, Snapshots);
  startAdmission(*std::move(admission));
  startPlatformReaders();
  return startOperatorServer();
}

absl::Status Runtime::startTraffic() {
  for (std::uint32_t i = 0; i < Settings.TrafficThreads; ++i) {
    auto socket = transport::UdpSocket::bind(Settings.Packets,
                                             Settings.TrafficThreads > 1);
    if (!socket.ok())
      return socket.status();
    Workers.push_back(std::make_unique<TrafficWorker>(
        Settings, Clock, Snapshots, *std::move(socket)));
  }
  for (auto &it : Workers)
    System.spawn<caf::detached>(
        [this, worker = it.get()](caf::blocking_actor *) {
          worker->run(Stop);
        });
  return absl::OkStatus();
}

void Runtime::startAdmission(transport::UdpSocket socket) {
  AdmissionCore = std::make_unique<AdmissionWorker>(Settings, Clock, Snapshots,
                                                    std::move(socket));
  Admission = System.spawn<caf::detached>([this](caf::blocking_actor *self) {
    while (!Stop) {
      AdmissionCore->turn();
      while (self->has_next_message())
        self->receive([this](const BackendServerPolled &it) {
          if (it.Report)
            AdmissionCore->onLoadReport(it.Revision, it.BackendServer,
                                        *it.Report);
          else
            AdmissionCore->onReportFailure(it.Revision, it.BackendServer);
        });
    }
  });
  Poller = std::make_unique<LoadPoller>(
      Settings.Admission, Clock, Snapshots,
      [this](const BackendServerPolled &it) { caf::anon_send(Admission, it); });
  System.spawn<caf::detached>(
      [this](caf::blocking_actor *) { Poller->run(Stop); });
}

void Runtime::startPlatformReaders() {
  if (!Settings.Platform)
    return;
  const auto told = [this](const PlatformReachability &it) {
    caf::anon_send(Control, it);
  };
  Readers.push_back(std::make_unique<PlatformReader>(
      *Settings.Platform, "/settings",
      [this](std::string text) {
        const auto version = versionOf(text, "revision");
        caf::anon_send(Control, PlatformSettings{std::move(text)});
        return version;
      },
      told));
  Readers.push_back(std::make_unique<PlatformReader>(
      *Settings.Platform, "/hosts",
      [this](std::string text) {
        const auto version = versionOf(text, "version");
        caf::anon_send(Control, PlatformHosts{std::move(text)});
        return version;
      },
      [](const PlatformReachability &) {}));
  for (auto &it : Readers)
    System.spawn<caf::detached>(
        [this, reader = it.get()](caf::blocking_actor *) {
          reader->run(Stop);
        });
}

Report Runtime::ask(ReportQuery query) {
  Report answer{false, "the control thread does not answer\n"};
  caf::scoped_actor self{System};
  self->request(Control, ReportTimeout, query)
      .receive([&](const Report &it) { answer = it; }, [](caf::error &) {});
  return answer;
}

absl::Status Runtime::startOperatorServer() {
  const auto serve = [this](const char *path, const char *type,
                            ReportQuery::Kind kind) {
    Operators.serve(
        path, type, [this, kind](const transport::HttpParameters &parameters) {
          ReportQuery query{kind, std::chrono::hours(1)};
          if (const auto it = parameters.find("since"); it != parameters.end())
            query.Since = std::chrono::seconds(std::atoll(it->second.c_str()));
          const auto answer = ask(query);
          return transport::HttpResponse{answer.Good ? 200 : 503, answer.Text};
        });
  };
  serve("/status", "application/json", ReportQuery::Kind::Status);
  serve("/ready", "text/plain", ReportQuery::Kind::Ready);
  serve("/metrics", "text/plain; version=0.0.4", ReportQuery::Kind::Metrics);
  serve("/cause", "application/json", ReportQuery::Kind::Cause);
  serve("/burn", "application/json", ReportQuery::Kind::Burn);
  return Operators.start(Settings.Operator);
}

void Runtime::drain() {
  caf::anon_send(Control, BeginStop{});
  const auto begun = Clock.now();
  const auto quiet = [this] {
    const auto now = Clock.now().time_since_epoch();
    for (const auto &it : Workers)
      if (now - std::chrono::nanoseconds(it->lastPacketNanoseconds()) <
          Settings.StopQuiet)
        return false;
    return AdmissionCore->heldFlows() == 0;
  };
  // The fabric needs a moment to notice that the host is not ready.
  while (Clock.now() - begun < Settings.StopTimeout &&
         (Clock.now() - begun < Settings.StopQuiet || !quiet()))
    std::this_thread::sleep_for(StopCheckInterval);
  if (!quiet())
    common::logLine(LogLevel::Warning,
                    absl::StrCat("stopped after stopTimeout with packets still "
                                 "arriving and ",
                                 AdmissionCore->heldFlows(), " SYNs held"));
}

void Runtime::shutdown() {
  Operators.stop();
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
                  absl::StrCat("host ", settings.Host, " started, packets on ",
                               common::toString(settings.Packets)));
  int received = 0;
  sigwait(&signals, &received);
  common::logLine(LogLevel::Info, "graceful stop begins");
  runtime.drain();
  runtime.shutdown();
  common::logLine(LogLevel::Info, "graceful stop complete");
  return absl::OkStatus();
}

} // namespace auburnroute::daemon
