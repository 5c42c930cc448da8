#include "Edge/EdgeNode.h"

#include "Common/Files.h"
#include "Common/Text.h"
#include "Fleet/GossipCodec.h"
#include "Reactor/HttpQuery.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <csignal>
#include <random>
#include <utility>

namespace auburnroute::edge {

using common::HttpResponse;
using common::TimePoint;
using std::chrono::milliseconds;

namespace {

/// Upper bound of the delay of this daemon's timers.
constexpr milliseconds TickInterval{50};
constexpr milliseconds HousekeepingInterval{250};
constexpr milliseconds FileCheckInterval{2000};
/// A gap between two wake-ups of at least this length means that the process
/// was stopped.
constexpr milliseconds MinPauseGap{600};
/// After a shorter gap packets are still of use, but some have waited for
/// longer than FlowTable::MinRetransmissionDelay, so that they are no evidence.
constexpr milliseconds MinStallGap =
    TickInterval + routing::FlowTable::MinRetransmissionDelay;
/// Packets that wait for the first view for longer are discarded: their callers
/// have retransmitted them after 200 ms, and give up after 1.4 s.
constexpr milliseconds MaxQueueTime{200};
/// Time until the routers stop sending to a host that is not ready: they probe
/// twice a second and remove a host after two failed probes.
constexpr milliseconds RouterFailoverTime{1300};
/// No packets for this long after RouterFailoverTime means that all routers
/// have switched to other hosts.
constexpr milliseconds DrainQuietTime{400};
/// The daemon exits this long before the stop timeout, at which the process is
/// killed.
constexpr milliseconds ShutdownMargin{500};
/// Outcomes of requests are not counted for this long after the start: when all
/// hosts lost power, callers give up what was sent before, and living servers
/// looked unresponsive.
constexpr std::chrono::seconds OutcomeStartDelay{10};
/// Removed backend servers are kept for the lifetime of a flow and this margin,
/// since the view may lag behind.
constexpr std::chrono::seconds RetentionMargin{5};

/// The time range of the parameter "since" in seconds; without it or if it is
/// longer, that of all causes that are kept.
std::chrono::seconds causeRangeOf(std::string_view query) {
  const std::chrono::seconds longest = state::CauseStore::Retention;
  const auto since = reactor::numberInQuery(query, "since");
  return since && std::cmp_less(*since, longest.count())
             ? std::chrono::seconds(*since)
             : longest;
}

/// Verdicts stand as long for the hosts that decide as for those that are told.
fleet::VerdictLimits verdictLimits(const routing::HealthLimits &limits) {
  fleet::VerdictLimits verdicts;
  verdicts.Hold = limits.SuspicionHold;
  return verdicts;
}

fleet::FleetStart fleetStartOf(const state::EdgeSettings &settings) {
  if (std::ranges::all_of(settings.Seeds, [&](const auto &it) {
        return it.Address == settings.Peers.Address;
      }))
    return fleet::FleetStart::Alone;
  return settings.Start == state::StartMode::First ? fleet::FleetStart::First
                                                   : fleet::FleetStart::Restart;
}

std::uint64_t randomSeed() { return std::random_device{}(); }

} // namespace

EdgeNode::EdgeNode(state::EdgeSettings settings, std::string settingsFile,
                   const common::Clock &clock)
    : Settings(std::move(settings)), SettingsFile(std::move(settingsFile)),
      Clock(clock), Loop(1), Timer(Loop),
      Signals(Loop, SIGTERM, SIGINT, SIGHUP), Log(clock),
      Directory(std::chrono::duration_cast<std::chrono::seconds>(
                    Settings.FlowLifetime) +
                RetentionMargin),
      Health(routing::HealthLimits::forHeartbeat(Settings.ServerHeartbeat,
                                                 Settings.ChangeBound)),
      History(Settings.Host, common::addressToString(Settings.Peers.Address),
              clock),
      Recorder(Log, clock, Directory, Health, History),
      ViewChangeListener(Recorder, Directory, Health),
      View(Routes, Directory, ViewChangeListener,
           fleet::FleetView::rewriteTimeFor(Settings.ServerHeartbeat)),
      Reader(View,
             fleet::RegistryReadTiming::forBound(Settings.registryBound())),
      Peers({Settings.Peers.Address, Settings.Zone, randomSeed()},
            randomSeed()),
      Detector(Peers, Directory, Health, Recorder,
               verdictLimits(routing::HealthLimits::forHeartbeat(
                   Settings.ServerHeartbeat, Settings.ChangeBound))),
      // The placement goes by this host's own counts: totals of single servers
      // are too old to place by (docs/design/load-sharing.md).
      Loads(Peers, Directory, Health, randomSeed(), {.SharesServers = false}),
      Outcomes(Directory), Degraded(Directory, randomSeed()),
      Outliers(Peers, Directory, Outcomes, Degraded, Recorder),
      InitialView(fleet::InitialViewTiming::forBound(Settings.registryBound())),
      ColdStarts(Peers, fleetStartOf(Settings), Routes, Directory, Recorder,
                 {.Overage = Settings.ColdStartOverage,
                  .Slack = Settings.ColdStartSlack,
                  .Heartbeat = Settings.ServerHeartbeat}),
      Placement(Directory, Health, Directory.zoneNames().idOf(Settings.Zone),
                randomSeed()),
      Router(Routes, Directory, Health, Placement, Recorder), ReadyServer(Loop),
      ControlServer(Loop), MetricsServer(Loop), PeerServer(Loop) {
  Recorder.setView(&View);
  Placement.setParts(
      {.Evacuations = &View.evacuations(), .ColdStarts = &ColdStarts});
}

absl::Status EdgeNode::run() {
  if (auto status = open(); !status.ok())
    return status;
  Log.write(LogEvent::Start,
            absl::StrCat("\"host\":\"", Settings.Host, "\",\"zone\":\"",
                         Settings.Zone, "\",\"packets\":\"",
                         common::toString(Settings.Packets), "\""));
  History.recordForHost(state::Cause::HostStarted);
  std::signal(SIGPIPE, SIG_IGN);
  waitForSignal();
  Exchange->start(Settings.Seeds, Settings.Start);
  StartedAt = LastWakeUp = Clock.now();
  tick();
  Loop.run();
  Log.write(LogEvent::Stop, "\"reason\":\"signal\"");
  return absl::OkStatus();
}

absl::Status EdgeNode::open() {
  auto packets =
      transport::UdpSocket::bind(Settings.Packets, /*reusePort=*/false);
  if (!packets.ok())
    return packets.status();
  auto peers = transport::UdpSocket::bind(Settings.Peers, /*reusePort=*/false);
  if (!peers.ok())
    return peers.status();
  Forwarder = std::make_unique<PacketForwarder>(
      Loop, *std::move(packets), Router, Directory, Clock, Recorder,
      [this] { detectStall(); },
      [this] {
        if (Health.hasNewRetransmissions())
          Exchange->pollEvidence();
        if (Router.hasUnknownTags() && Exchange->canAskForServers())
          Exchange->askForServers(
              Router.takeUnknownTags(fleet::GossipCodec::MaxTags, Clock.now()));
      });
  Exchange = std::make_unique<PeerExchange>(
      Loop, *std::move(peers), Settings.Peers, Peers, View, Directory, Health,
      Detector, InitialView, Clock, History, Log, Recorder.metrics(),
      [this] { return detectStall(); },
      [this] {
        updateReadiness();
        resetFlowsOfDeadServers();
      });
  Registry = std::make_unique<RegistryClient>(
      Loop, Settings.Registry, Reader, Clock, History, Log, Recorder, [this] {
        updateReadiness();
        if (Reader.failures() > 0)
          Exchange->onRegistryFailure();
        Exchange->poll();
        updateRegistryRole(Clock.now());
        Registry->poll();
      });
  if (Settings.LoadSharing)
    useLoadSharing();
  if (Settings.Outliers == state::OutlierDetection::On)
    useOutliers();
  return serveHttp();
}

void EdgeNode::useLoadSharing() {
  Exchange->setLoadExchange(&Loads);
  Control = std::make_unique<LoadControl>(
      Directory, Health, &View.evacuations(),
      Directory.zoneNames().idOf(Settings.Zone), Loads, Settings.CrossZoneCost,
      randomSeed(), Log, Recorder.metrics());
  auto parts = Placement.parts();
  parts.Load = &Loads;
  parts.Zones = &Control->zones();
  Placement.setParts(parts);
  if (Settings.AdmissionControl)
    Router.setAdmission(&Control->admission());
  Router.setZoneDelays(&Control->delays());
}

void EdgeNode::startCountingOutcomes(TimePoint now) {
  if (IsCountingOutcomes || Settings.Outliers == state::OutlierDetection::Off ||
      now - StartedAt < OutcomeStartDelay)
    return;
  IsCountingOutcomes = true;
  Router.setOutcomes(&Outcomes);
}

void EdgeNode::useOutliers() {
  auto parts = Placement.parts();
  parts.Degraded = &Degraded;
  Placement.setParts(parts);
  Exchange->setOutliers(&Outliers);
}

absl::Status EdgeNode::serveHttp() {
  ReadyServer.serve("/readiness", "application/json", [this](std::string_view) {
    return HttpResponse{Ready ? HttpResponse::Ok : HttpResponse::Unavailable,
                        "{}"};
  });
  ControlServer.serve("/status", "application/json", [this](std::string_view) {
    return HttpResponse{HttpResponse::Ok, status()};
  });
  for (auto *server : {&ControlServer, &MetricsServer})
    server->serve("/metrics", "text/plain; version=0.0.4",
                  [this](std::string_view) {
                    return HttpResponse{HttpResponse::Ok, metrics()};
                  });
  ControlServer.serve(
      "/cause", "application/json", [this](std::string_view query) {
        return HttpResponse{HttpResponse::Ok,
                            History.causes(causeRangeOf(query))};
      });
  ControlServer.serve("/burn", "application/json", [this](std::string_view) {
    return HttpResponse{HttpResponse::Ok, History.burn()};
  });
  PeerServer.serve(
      "/causes", "application/x-protobuf", [this](std::string_view) {
        return HttpResponse{HttpResponse::Ok, fleet::GossipCodec::encode(
                                                  History.newestEntries())};
      });
  PeerServer.serve(
      "/view", "application/x-protobuf", [this](std::string_view query) {
        return HttpResponse{View.isComplete() ? HttpResponse::Ok
                                              : HttpResponse::Unavailable,
                            Exchange->snapshot(query)};
      });
  if (auto status = ReadyServer.listen(Settings.Ready); !status.ok())
    return status;
  if (auto status = ControlServer.listen(Settings.Control); !status.ok())
    return status;
  if (Settings.Metrics.Port != 0)
    if (auto status = MetricsServer.listen(Settings.Metrics); !status.ok())
      return status;
  return PeerServer.listen(Settings.Peers);
}

void EdgeNode::waitForSignal() {
  Signals.async_wait([this](auto ec, int signal) {
    if (ec)
      return;
    onSignal(signal);
    waitForSignal();
  });
}

void EdgeNode::onSignal(int signal) {
  if (signal == SIGHUP)
    reloadSettings();
  else
    beginStop();
}

void EdgeNode::tick() {
  const auto now = Clock.now();
  detectStall();
  if (!View.isComplete() && now - StartedAt >= MaxQueueTime)
    Forwarder->discardBacklog();
  if (now >= NextHousekeeping) {
    NextHousekeeping = now + HousekeepingInterval;
    Router.onTick(now);
    ColdStarts.update(now);
    startCountingOutcomes(now);
    View.reconcileEra(now);
    View.discardExpired(now);
    History.expire();
    if (Control != nullptr)
      Control->poll(now);
    Log.flush();
    Recorder.metrics().set(EdgeCounter::EntriesUnreadable, View.unreadable());
    Recorder.metrics().set(EdgeCounter::EntriesRefused, View.refused());
    Recorder.metrics().set(EdgeCounter::EntriesOutdated, View.outdated());
    Recorder.metrics().set(EdgeCounter::OutcomesDiscarded,
                           Outcomes.discardCount());
    Recorder.metrics().set(EdgeCounter::LogLinesDropped, Log.dropped());
  }
  if (now >= NextFileCheck) {
    NextFileCheck = now + FileCheckInterval;
    reloadSettings();
  }
  updateRegistryRole(now);
  Registry->poll();
  Router.checkOpeningFlows(now);
  Exchange->poll();
  onLoadsPolled();
  resetFlowsOfDeadServers();
  if (StoppingSince && canExit(now)) {
    Loop.stop();
    return;
  }
  Timer.expires_after(TickInterval);
  Timer.async_wait([this](auto ec) {
    if (!ec)
      tick();
  });
}

void EdgeNode::updateRegistryRole(TimePoint now) {
  Reader.setActive(View.isComplete()
                       ? shouldTakeOverReading(now) ||
                             (!StoppingSince && Peers.hasLowestAddress(now))
                       : InitialView.shouldAskRegistry(now));
  Router.setUsesLapsed(Reader.isRegistryUnavailable() ||
                       View.age(now) > Reader.timing().TakeoverAge * 2);
}

bool EdgeNode::shouldTakeOverReading(TimePoint now) const {
  const auto &timing = Reader.timing();
  const auto age = View.age(now);
  // Skips the rank, which needs a scan of all peers, while the view is current.
  if (age <= timing.TakeoverAge)
    return false;
  const bool hearsPeers = now - Exchange->lastMessageAt() <= timing.TakeoverAge;
  return age > timing.takeoverAge(Peers.rankInZone(now), hearsPeers);
}

milliseconds EdgeNode::detectStall() {
  const auto now = Clock.now();
  const auto gap = std::chrono::duration_cast<milliseconds>(
      now - std::exchange(LastWakeUp, now));
  // The handlers that follow in this turn of the event loop read what waited,
  // too.
  if (gap < MinStallGap)
    return now - LastStallAt < TickInterval ? LastStall : milliseconds(0);
  LastStallAt = now;
  LastStall = gap;
  Recorder.metrics().add(EdgeCounter::Stalls);
  Router.discardEvidence(now);
  Outliers.discard();
  if (gap < MinPauseGap)
    return gap;
  Recorder.metrics().add(EdgeCounter::Pauses);
  History.recordForHost(state::Cause::HostPaused);
  Forwarder->discardBacklog();
  Exchange->discardBacklog();
  Reader.scheduleNextCallAt(now);
  Log.write(LogEvent::Pause, absl::StrCat("\"gap_ms\":", gap.count()));
  return gap;
}

void EdgeNode::updateReadiness() {
  if (!View.isComplete())
    return;
  Forwarder->start();
  const bool ready = !StoppingSince;
  if (ready == Ready)
    return;
  Ready = ready;
  Log.write(LogEvent::Ready,
            absl::StrCat("\"ready\":", ready ? "true" : "false",
                         ",\"revision\":", View.revision(),
                         ",\"version\":", Routes.version(),
                         ",\"servers\":", Directory.readyCount()));
}

void EdgeNode::onLoadsPolled() {
  for (const auto &it : Loads.takeSharingChanges())
    if (Log.tryAdmit(LogEvent::LoadSharing))
      Log.write(LogEvent::LoadSharing,
                absl::StrCat("\"service\":\"",
                             Directory.serviceNames().nameOf(it.Service),
                             "\",\"shared\":", it.IsShared ? "true" : "false",
                             ",\"utilization\":", it.Utilization));
  if (Loads.takeZoneChanged())
    Router.onRoutersChanged(Clock.now());
}

std::string EdgeNode::loadStatus() const {
  const auto now = Clock.now();
  std::string list;
  const auto &services = Directory.serviceNames();
  const auto &zones = Directory.zoneNames();
  for (routing::NameTable::Id service = 0; service < services.size(); ++service)
    for (routing::NameTable::Id zone = 0; zone < zones.size(); ++zone)
      if (const auto load = Loads.zoneLoad(service, zone, now);
          load && load->Slots > 0)
        absl::StrAppend(&list, list.empty() ? "" : ",", "{\"service\":\"",
                        services.nameOf(service), "\",\"zone\":\"",
                        zones.nameOf(zone),
                        "\",\"utilization\":", load->utilization(),
                        ",\"rate\":", load->Rate, "}");
  return list;
}

void EdgeNode::resetFlowsOfDeadServers() {
  for (const auto id : Detector.takeDead())
    Forwarder->resetFlows(Router.abandonFlowsOf(id, Clock.now()));
}

void EdgeNode::reloadSettings() {
  const auto text = common::readFile(SettingsFile);
  if (!text.ok() || *text == SettingsText)
    return;
  const bool isFirstRead = SettingsText.empty();
  SettingsText = *text;
  if (isFirstRead)
    return;
  const auto settings = state::loadEdgeSettings(*text, SettingsFile);
  if (!settings.ok()) {
    Log.write(LogEvent::Reload,
              absl::StrCat("\"applied\":false,\"reason\":\"",
                           absl::CHexEscape(settings.status().message()),
                           "\""));
    return;
  }
  // Only these are applied at run time; addresses and zone need a restart.
  Settings.Seeds = settings->Seeds;
  Settings.StopTimeout = settings->StopTimeout;
  Exchange->setSeeds(Settings.Seeds);
  Log.write(LogEvent::Reload, "\"applied\":true");
}

void EdgeNode::beginStop() {
  if (StoppingSince)
    return;
  StoppingSince = Clock.now();
  Ready = false;
  History.recordForHost(state::Cause::HostLeaving);
  Exchange->announceStop();
  Log.write(LogEvent::Stop, "\"reason\":\"signal\",\"phase\":\"begin\"");
}

bool EdgeNode::canExit(TimePoint now) const {
  const auto since = now - *StoppingSince;
  if (since > Settings.StopTimeout - ShutdownMargin)
    return true;
  return since > RouterFailoverTime &&
         now - Forwarder->lastPacketAt() > DrainQuietTime;
}

std::string EdgeNode::status() const {
  const auto now = Clock.now();
  const auto alive = Peers.alive(now);
  std::string hosts;
  for (const auto address : alive)
    absl::StrAppend(&hosts, hosts.empty() ? "" : ",", "{\"name\":\"",
                    common::addressToString(address),
                    "\",\"state\":\"live\",\"operator\":\"",
                    common::toString({address, Settings.Control.Port}), "\"}");
  std::string zones;
  for (const auto &it : View.evacuations().evacuatedZones())
    absl::StrAppend(&zones, zones.empty() ? "" : ",", "\"", it, "\"");
  return absl::StrCat(
      "{\"host\":\"", Settings.Host, "\",\"zone\":\"", Settings.Zone,
      "\",\"ready\":", Ready ? "true" : "false",
      ",\"version\":", Routes.version(), ",\"revision\":", View.revision(),
      ",\"era\":", View.era(), ",\"view_age_ms\":", View.age(now).count(),
      ",\"servers\":", Directory.readyCount(), ",\"evacuated_zones\":[", zones,
      "],\"degraded\":", Outliers.degradedCount(now),
      ",\"flows\":", Router.flowCount(), ",\"peers\":", alive.size(),
      ",\"loads\":[", loadStatus(), "],\"hosts\":[", hosts, "]}\n");
}

std::string EdgeNode::metrics() const {
  const auto now = Clock.now();
  EdgeGauges gauges;
  gauges.Ready = Ready;
  gauges.ConfigurationVersion = Routes.version();
  gauges.ViewRevision = View.revision();
  gauges.RegistryEra = View.era();
  gauges.ViewAge = View.age(now);
  gauges.ReadyServers = Directory.readyCount();
  gauges.EvacuatedZones = View.evacuations().evacuatedZones().size();
  gauges.Flows = Router.flowCount();
  gauges.Peers = Peers.aliveCount(now);
  gauges.EvidenceCases = Detector.caseCount();
  gauges.ColdServers = ColdStarts.coldCount();
  gauges.SharedServices = Loads.sharedCount();
  gauges.LoadTotalsAge = Loads.totalAge(now);
  gauges.LoadInterval = Loads.interval();
  if (Control != nullptr)
    Control->sample(gauges);
  gauges.DegradedServers = Outliers.degradedCount(now);
  return Recorder.metrics().text(gauges);
}

} // namespace auburnroute::edge
