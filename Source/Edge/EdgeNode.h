#pragma once

#include "Common/Clock.h"
#include "Edge/PacketPump.h"
#include "Edge/PeerExchange.h"
#include "Edge/RegistryClient.h"
#include "Edge/ViewListener.h"
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

/// An edge daemon: one thread, one event loop.
class EdgeNode {
public:
  /// \p settingsFile is read again at SIGHUP and when it changes.
  EdgeNode(state::EdgeSettings settings, std::string settingsFile,
           const common::Clock &clock);

  /// Runs until a signal stops it. Errors: Unavailable, if an address can't
  /// be bound.
  absl::Status run();

private:
  absl::Status open();
  absl::Status serveHttp();
  void waitForSignal();
  void onSignal(int signal);
  void tick();
  /// Whether this host reads the registry now.
  void updateDuty(common::TimePoint now);
  /// Whether the view is so old that this host reads in the reader's place.
  bool isStandIn(common::TimePoint now) const;
  void updateReadiness();
  void checkPause(common::TimePoint now);
  void reloadSettings();
  void beginStop();
  bool mayEnd(common::TimePoint now) const;
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
  ViewListener Listener;
  fleet::FleetView View;
  fleet::RegistryReader Reader;
  fleet::PeerTable Peers;
  routing::ServerPlacement Placement;
  routing::PacketRouter Router;
  std::unique_ptr<PacketPump> Pump;
  std::unique_ptr<PeerExchange> Exchange;
  std::unique_ptr<RegistryClient> Registry;
  reactor::AsyncHttpServer ReadyServer;
  reactor::AsyncHttpServer ControlServer;
  reactor::AsyncHttpServer MetricsServer;
  reactor::AsyncHttpServer PeerServer;
  bool Ready = false;
  std::optional<common::TimePoint> StoppingSince;
  common::TimePoint LastTick;
  common::TimePoint NextHousekeeping;
  common::TimePoint NextFileCheck;
};

} // namespace auburnroute::edge
