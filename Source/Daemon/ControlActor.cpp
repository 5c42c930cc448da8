#include "Daemon/ControlActor.h"

namespace auburnroute::daemon {

namespace {

// ControlPlane::onTick() must be called at least every 100 ms.
constexpr std::chrono::milliseconds TickInterval{50};

/// Incarnation of this process: wall-clock time in milliseconds.
std::uint64_t startTime(const common::Clock &clock) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          clock.wallTime().time_since_epoch())
          .count());
}

} // namespace

ControlActor::ControlActor(caf::actor_config &config,
                           const state::DaemonSettings &settings,
                           const common::Clock &clock,
                           SnapshotPublisher &snapshots,
                           ControlCallbacks callbacks)
    : caf::event_based_actor(config), Clock(clock), Snapshots(snapshots),
      Callbacks(std::move(callbacks)),
      Plane(settings, clock, startTime(clock)) {}

caf::behavior ControlActor::make_behavior() {
  send(this, ControlTick{});
  return {
      [this](const ControlTick &) {
        delayed_send(this, TickInterval, ControlTick{});
        tick();
      },
      [this](const PlatformSettings &it) {
        Plane.onPlatformSettings(it.Text);
        dispatchOutput();
      },
      [this](const PlatformHosts &it) {
        Plane.onPlatformHosts(it.Text);
        dispatchOutput();
      },
      [this](const PlatformReachability &it) {
        Plane.onPlatformReachable(it.IsReachable, it.Reason);
      },
      [this](const PeerFrameReceived &it) {
        Plane.onPeerFrame(it.Bytes);
        dispatchOutput();
      },
      [this](const AdmissionSummary &it) { Plane.onAdmissionSummary(it); },
      [this](const OwnerUnresponsive &it) {
        Plane.onOwnerUnresponsive(it.Admission);
        dispatchOutput();
      },
      [this](const BeginStop &) {
        Plane.beginStop();
        dispatchOutput();
      },
      [this](const StopTimedOut &) {
        Plane.onStopTimeout();
        dispatchOutput();
      },
      [this](const ReportQuery &query) { return report(query); },
  };
}

void ControlActor::tick() {
  Plane.onTick();
  if (Plane.isConfirmed())
    Snapshots.setConfirmedAt(Clock.now());
  dispatchOutput();
}

void ControlActor::dispatchOutput() {
  for (auto &it : Plane.takeFrames())
    Callbacks.SendFrame(std::move(it));
  if (auto snapshot = Plane.takeSnapshot())
    Snapshots.publish(std::move(snapshot));
  Callbacks.ConfigureReaders(Plane.readsPlatform(), Plane.settingsRevision(),
                             Plane.hostListVersion());
}

Report ControlActor::report(const ReportQuery &query) const {
  const auto view = Plane.view();
  const ControlReports reports(view);
  switch (query.Requested) {
  case ReportQuery::Kind::Ready:
    return {Plane.isReady(), Plane.isReady() ? "ready\n" : "not ready\n"};
  case ReportQuery::Kind::Status: {
    const auto [sent, received] = Callbacks.LinkByteCounts();
    return {true, reports.statusJson(sent, received)};
  }
  case ReportQuery::Kind::Metrics:
    return {true, reports.metricsText()};
  case ReportQuery::Kind::Cause:
    return {true, reports.causesJson(query.Since)};
  case ReportQuery::Kind::Burn:
    return {true, reports.burnJson()};
  }
  return {false, "unknown report\n"};
}

} // namespace auburnroute::daemon
