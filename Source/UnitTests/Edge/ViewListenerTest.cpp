#include "Edge/ViewListener.h"
#include "Common/ManualClock.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ViewListenerTest)

// Guards against a backend server that restarts under the same name and stays
// suspected, or dead, for the silence of its earlier instance.
BOOST_AUTO_TEST_CASE(RestartResetsHealth) {
  common::ManualClock clock;
  edge::EventLog log(clock);
  routing::RouteTable routes;
  routing::ServerDirectory directory(60s);
  routing::ServerHealthTracker health;
  fleet::CauseHistory history("a-1", "192.0.2.1", clock);
  edge::EventRecorder recorder(log, clock, directory, health, history);
  edge::ViewListener listener(recorder, directory, health);
  fleet::FleetView view(routes, directory, listener);
  recorder.setView(&view);

  fleet::RegistryPage page;
  page.Revision = 1;
  routing::ServerRegistration server;
  server.Name = "s-1";
  server.Identity = 1;
  server.Service = "orders";
  server.StartTimeMs = 100;
  server.Revision = 1;
  page.Servers.push_back(server);
  view.applyEntries(page, clock.now());
  const auto id = directory.idOf(*directory.findByName("s-1"));
  const auto sent = clock.now();
  clock.advance(200ms);
  health.onRetransmission(id, routing::SuspicionReason::SynUnanswered, 1, sent,
                          clock.now());
  BOOST_TEST(health.isSuspect(id, clock.now()));

  page.Servers.front().Revision = 2;
  view.applyEntries(page, clock.now());
  BOOST_TEST(health.isSuspect(id, clock.now()));
  page.Servers.front().StartTimeMs = 200;
  page.Servers.front().Revision = 3;
  view.applyEntries(page, clock.now());
  BOOST_TEST(!health.isSuspect(id, clock.now()));
}

BOOST_AUTO_TEST_SUITE_END()
