#pragma once

#include "Common/Clock.h"
#include "Edge/LoadControl.h"
#include "Edge/PacketForwarder.h"
#include "Edge/PeerExchange.h"
#include "Edge/RegistryClient.h"
#include "Edge/ViewListener.h"
#include "Fleet/SharedColdStartLimiter.h"
#include "Reactor/AsyncHttpServer.h"
#include "Routing/ServerPlacement.h"
#include "State/EdgeSettings.h"

#include "absl/status/status.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace auburnroute::edge {

/// The edge daemon. Everything runs on one thread and one event loop.
class EdgeNode {
public:
  /// \p settingsFile is reloaded on SIGHUP and when its content changes.
  EdgeNode(state::EdgeSettings settings, std::string settingsFile,
           const common::Clock &clock);

  /// Runs until SIGTERM or SIGINT and the shutdown that follows. Errors:
  /// Unavailable if an address cannot be bound.
  absl::Status run();

private:
  absl::Status open();
  absl::Status serveHttp();
  /// Switches load sharing and zone balancing on, and admission control if the
  /// settings ask for it.
  void useLoadSharing();
  void waitForSignal();
  void onSignal(int signal);
  void tick();
  /// Decides whether this host reads the registry from now on.
  void updateRegistryRole(common::TimePoint now);
  /// Whether the view is so old that this host should take over reading the
  /// registry from the host that does so normally.
  bool shouldTakeOverReading(common::TimePoint now) const;
  void updateReadiness();
  /// Logs which services are shared, and applies changes of the zone.
  void onLoadsPolled();
  /// Members "loads" of the status: utilization by service and zone.
  std::string loadStatus() const;
  /// Switches outlier detection on.
  void useOutliers();
  void startCountingOutcomes(common::TimePoint now);
  /// Resets the flows of servers that were found dead.
  void resetFlowsOfDeadServers();
  /// Discards evidence and queued input if the process did not run for a while.
  /// Must come first in each handler of the event loop that reads packets or
  /// messages. Returns the time for which they may have waited.
  std::chrono::milliseconds detectStall();
  void reloadSettings();
  void beginStop();
  /// Whether the routers no longer send packets, or the stop timeout is near.
  bool canExit(common::TimePoint now) const;
  std::string status() const;
  std::string metrics() const;

  state::EdgeSettings Settings;
  std::string SettingsFile;
  std::string SettingsText;
  const common::Clock &Clock;
  boost::asio::io_context Loop;
  boost::asio::steady_timer Timer;
  boost::asio::signal_set Signals;
  EventLog Log;
  routing::RouteTable Routes;
  routing::ServerDirectory Directory;
  routing::ServerHealthTracker Health;
  fleet::CauseHistory History;
  EventRecorder Recorder;
  ViewListener ViewChangeListener;
  fleet::FleetView View;
  fleet::RegistryReader Reader;
  fleet::PeerTable Peers;
  fleet::SharedFailureDetector Detector;
  fleet::LoadExchange Loads;
  routing::OutcomeTracker Outcomes;
  routing::DegradedServers Degraded;
  fleet::OutlierDetector Outliers;
  fleet::InitialViewSource InitialView;
  fleet::SharedColdStartLimiter ColdStarts;
  routing::ServerPlacement Placement;
  routing::PacketRouter Router;
  std::unique_ptr<LoadControl> Control; ///< Null without shared load.
  std::unique_ptr<PacketForwarder> Forwarder;
  std::unique_ptr<PeerExchange> Exchange;
  std::unique_ptr<RegistryClient> Registry;
  reactor::AsyncHttpServer ReadyServer;
  reactor::AsyncHttpServer ControlServer;
  reactor::AsyncHttpServer MetricsServer;
  reactor::AsyncHttpServer PeerServer;
  bool Ready = false;
  std::optional<common::TimePoint> StoppingSince;
  common::TimePoint StartedAt;
  bool IsCountingOutcomes = false;
  common::TimePoint LastWakeUp;
  common::TimePoint LastStallAt; ///< Its end.
  std::chrono::milliseconds LastStall{0};
  common::TimePoint NextHousekeeping;
  common::TimePoint NextFileCheck;
};

} // namespace auburnroute::edge
