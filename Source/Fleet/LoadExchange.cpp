#include "Fleet/LoadExchange.h"

#include "Fleet/EvidenceOwners.h"
#include "Fleet/GossipCodec.h"

#include <algorithm>
#include <cmath>

namespace auburnroute::fleet {

using common::TimePoint;
using routing::NameTable;
using routing::RemoteLoad;
using routing::ServerId;
using routing::ServerState;
using std::chrono::milliseconds;

namespace {

/// How often services and hosts are looked through.
constexpr milliseconds UpdateInterval{250};

} // namespace

LoadExchange::LoadExchange(const PeerTable &peers,
                           const routing::ServerDirectory &directory,
                           const routing::ServerHealthTracker &health,
                           std::uint64_t seed, LoadExchangeLimits limits)
    : Peers(peers), Directory(directory), Health(health), Random(seed),
      Limits(limits), Interval(limits.MinInterval) {}

void LoadExchange::poll(TimePoint now) {
  if (now - ServicesUpdatedAt >= UpdateInterval) {
    updateHosts(now);
    updateServices(now);
    expire(now);
  }
  if (sharedCount() == 0)
    return;
  if (now - ZoneLoadsSentAt >= Limits.MinInterval)
    sendZoneLoads(now);
  const auto paced =
      std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(
          static_cast<double>(SentBytes) / Limits.BytesPerSecond));
  const auto interval =
      std::clamp(paced, Limits.MinInterval, Limits.MaxInterval);
  if (now - RoundAt < interval)
    return;
  Interval = interval;
  beginRound(now);
}

void LoadExchange::beginRound(TimePoint now) {
  RoundAt = now;
  SentBytes = 0;
  sendReports(now);
}

void LoadExchange::updateHosts(TimePoint now) {
  const bool isFirst = Zones.empty();
  auto zones = Peers.hostsByZone(Limits.HostTimeout, now);
  const auto &own = Peers.self().Zone;
  if (!isFirst && zones[own] != Zones[own])
    ZoneChanged = true;
  Zones = std::move(zones);
}

void LoadExchange::updateServices(TimePoint now) {
  const auto elapsed = now - ServicesUpdatedAt;
  ServicesUpdatedAt = now;
  const double weight =
      1 - std::exp(-(std::chrono::duration<double>(elapsed) /
                     std::chrono::duration<double>(Limits.SmoothingTime)));
  const bool wasIdle = sharedCount() == 0;
  Services.resize(Directory.serviceNames().size());
  for (NameTable::Id id = 0; id < Services.size(); ++id) {
    auto &it = Services[id];
    it.Utilization += weight * (utilizationOf(id, now) - it.Utilization);
    const bool isShared =
        it.Utilization >
        (it.IsShared ? Limits.StopUtilization : Limits.StartUtilization);
    if (std::exchange(it.IsShared, isShared) != isShared)
      Changes.push_back({id, isShared, it.Utilization});
  }
  // Hosts that start together report at different times.
  if (wasIdle && sharedCount() > 0)
    RoundAt = now - milliseconds(Random() % static_cast<std::uint64_t>(
                                                Limits.MinInterval.count()));
}

double LoadExchange::utilizationOf(NameTable::Id service, TimePoint now) const {
  double outstanding = 0;
  double slots = 0;
  double busiest = 0;
  const auto ownZone = Directory.zoneNames().find(Peers.self().Zone);
  for (const auto &it : ownLoads(service, now)) {
    if (it.Zone == ownZone) {
      outstanding = it.Outstanding;
      slots = slotsOf(service, it.Zone);
    }
    if (const auto load = reportedLoad(service, it.Zone, now))
      busiest = std::max(busiest, load->utilization());
  }
  if (slots > 0) {
    const auto hosts = Zones.find(Peers.self().Zone);
    const double count =
        hosts == Zones.end() ? 1 : static_cast<double>(hosts->second.size());
    busiest = std::max(busiest, outstanding * count / slots);
  }
  return busiest;
}

std::vector<std::uint32_t> LoadExchange::collectors(TimePoint now) const {
  std::vector<std::uint32_t> hosts;
  const auto zone = Zones.find(Peers.self().Zone);
  if (zone == Zones.end())
    return hosts;
  for (const auto host : zone->second) {
    const auto it = Collectors.find(host);
    if (it == Collectors.end() || now >= it->second.PassedOverUntil)
      hosts.push_back(host);
  }
  return hosts;
}

void LoadExchange::sendReports(TimePoint now) {
  if (!Limits.SharesServers)
    return;
  for (auto &[host, collector] : Collectors)
    if (collector.Unanswered >= Limits.MaxUnanswered)
      collector = {0, now + Limits.RetryTime};
  const auto hosts = collectors(now);
  const auto self = Peers.self().Address;
  const auto ownZone = Directory.zoneNames().find(Peers.self().Zone);
  std::map<std::uint32_t, std::vector<ReportedServerLoad>> reports;
  for (NameTable::Id service = 0; service < Services.size(); ++service) {
    if (!Services[service].IsShared)
      continue;
    for (const auto id : Directory.serversOf(service)) {
      const auto &server = Directory.at(id);
      const auto identity = server.Registration.Identity;
      const auto load = ownLoad(id, now);
      // Totals of other zones' servers matter to hosts with flows there only.
      if (server.Registration.State == ServerState::Lapsed ||
          (server.Zone != ownZone && load.OpenFlows + load.Outstanding == 0))
        continue;
      const auto chosen = EvidenceOwners::choose(identity, hosts, 1);
      if (chosen.empty() || chosen.front() == self)
        Totals[identity] = collectedLoad(identity, self, now);
      else
        reports[chosen.front()].push_back(
            {identity, load.Outstanding,
             static_cast<std::uint32_t>(load.OpenFlows)});
    }
  }
  for (const auto &[host, loads] : reports) {
    ++Collectors[host].Unanswered;
    for (std::size_t n = 0; n < loads.size();
         n += GossipCodec::MaxServerLoads) {
      auto &message = Messages.emplace_back();
      message.To = host;
      message.Message.Sender = Peers.self();
      const auto first = loads.begin() + static_cast<std::ptrdiff_t>(n);
      message.Message.LoadReports.assign(
          first, first + static_cast<std::ptrdiff_t>(std::min(
                             loads.size() - n, GossipCodec::MaxServerLoads)));
    }
  }
}

void LoadExchange::sendZoneLoads(TimePoint now) {
  ZoneLoadsSentAt = now;
  const auto loads = ownZoneLoads(now);
  if (loads.empty())
    return;
  for (auto [zone, hosts] : Zones) {
    // Hosts of the own zone hear them by gossip.
    if (zone == Peers.self().Zone)
      continue;
    std::ranges::shuffle(hosts, Random);
    hosts.resize(std::min(hosts.size(), Limits.ZoneFanOut));
    for (const auto host : hosts) {
      auto &message = Messages.emplace_back();
      message.To = host;
      message.Message.Sender = Peers.self();
      message.Message.ZoneLoads = loads;
    }
  }
}

std::vector<LoadExchange::Outgoing> LoadExchange::takeOutgoing() {
  return std::exchange(Messages, {});
}

std::vector<LoadExchange::SharingChange> LoadExchange::takeSharingChanges() {
  return std::exchange(Changes, {});
}

void LoadExchange::onMessage(const GossipMessage &message, TimePoint now) {
  const auto zone = Zones.find(message.Sender.Zone);
  if (zone == Zones.end() ||
      !std::ranges::binary_search(zone->second, message.Sender.Address) ||
      message.Sender.Address == Peers.self().Address)
    return;
  onZoneLoads(message, now);
  if (message.Sender.Zone != Peers.self().Zone)
    return;
  onReports(message, now);
  onTotals(message, now);
}

void LoadExchange::onReports(const GossipMessage &message, TimePoint now) {
  if (message.LoadReports.empty())
    return;
  const auto sender = message.Sender.Address;
  if (const auto it = Collectors.find(sender); it != Collectors.end())
    it->second.PassedOverUntil = {};
  auto &reporter = Reporters[sender];
  for (const auto &it : message.LoadReports)
    if (Directory.findByIdentity(it.Identity) != nullptr &&
        (reporter.Loads.size() < Limits.MaxReportedServers ||
         reporter.Loads.contains(it.Identity)))
      reporter.Loads[it.Identity] = {it.Outstanding,
                                     static_cast<double>(it.OpenFlows), now};
  if (now - reporter.AnsweredSince >= Limits.AnswerWindow) {
    reporter.AnsweredSince = now;
    reporter.Answers = 0;
  }
  if (++reporter.Answers > Limits.MaxAnswers)
    return;
  Outgoing answer;
  answer.To = sender;
  answer.Message.Sender = Peers.self();
  for (const auto &it : message.LoadReports) {
    const auto *server = Directory.findByIdentity(it.Identity);
    if (server == nullptr)
      continue;
    const auto own = ownLoad(Directory.idOf(*server), now);
    const auto others = collectedLoad(it.Identity, sender, now);
    answer.Message.LoadTotals.push_back(
        {it.Identity, own.Outstanding + others.Outstanding,
         static_cast<std::uint32_t>(own.OpenFlows + others.OpenFlows)});
  }
  if (!answer.Message.LoadTotals.empty())
    Messages.push_back(std::move(answer));
}

void LoadExchange::onTotals(const GossipMessage &message, TimePoint now) {
  const auto collector = Collectors.find(message.Sender.Address);
  // Totals that this host did not ask for are no answer.
  if (message.LoadTotals.empty() || collector == Collectors.end())
    return;
  collector->second = {};
  for (const auto &it : message.LoadTotals)
    if (Directory.findByIdentity(it.Identity) != nullptr)
      Totals[it.Identity] = {it.Outstanding, static_cast<double>(it.OpenFlows),
                             now};
}

void LoadExchange::onZoneLoads(const GossipMessage &message, TimePoint now) {
  if (message.ZoneLoads.empty())
    return;
  ZoneReport report{message.Sender.Zone, now, {}};
  for (const auto &it : message.ZoneLoads) {
    const auto service = Directory.serviceNames().find(it.Service);
    const auto zone = Directory.zoneNames().find(it.Zone);
    if (service && zone)
      report.Loads.push_back({*service, *zone, it.Outstanding, it.Rate});
  }
  ZoneReports[message.Sender.Address] = std::move(report);
}

void LoadExchange::expire(TimePoint now) {
  const auto isStale = [&](const auto &it) {
    return now - it.second.At > staleAfter();
  };
  absl::erase_if(Totals, isStale);
  absl::erase_if(Reporters, [&](auto &it) {
    absl::erase_if(it.second.Loads, isStale);
    return it.second.Loads.empty() &&
           now - it.second.AnsweredSince > Limits.AnswerWindow;
  });
  absl::erase_if(ZoneReports, [&](const auto &it) {
    return now - it.second.At > 2 * Limits.StaleIntervals * Limits.MinInterval;
  });
  const auto &own = Zones[Peers.self().Zone];
  absl::erase_if(Collectors, [&](const auto &it) {
    return !std::ranges::binary_search(own, it.first);
  });
}

LoadExchange::Load LoadExchange::collectedLoad(std::uint64_t identity,
                                               std::uint32_t excluded,
                                               TimePoint now) const {
  Load sum{0, 0, now};
  for (const auto &[host, reporter] : Reporters) {
    const auto it = reporter.Loads.find(identity);
    if (host == excluded || it == reporter.Loads.end() ||
        now - it->second.At > staleAfter())
      continue;
    sum.Outstanding += it->second.Outstanding;
    sum.OpenFlows += it->second.OpenFlows;
  }
  return sum;
}

LoadExchange::Load LoadExchange::ownLoad(ServerId id, TimePoint now) const {
  const auto &load = Health.activity(id).Load;
  return {load.meanOutstanding(now), static_cast<double>(load.flows()), now};
}

std::vector<LoadExchange::ServiceInZone>
LoadExchange::ownLoads(NameTable::Id service, TimePoint now) const {
  std::vector<ServiceInZone> loads;
  for (const auto id : Directory.serversOf(service)) {
    const auto &server = Directory.at(id);
    // The slots of others are not counted either.
    if (server.Registration.State != ServerState::Ready)
      continue;
    auto it = std::ranges::find(loads, server.Zone, &ServiceInZone::Zone);
    if (it == loads.end())
      it = loads.insert(it, {service, server.Zone, 0, 0});
    const auto &load = Health.activity(id).Load;
    it->Outstanding += load.meanOutstanding(now);
    it->Rate += load.rate(now);
  }
  return loads;
}

std::vector<ReportedZoneLoad> LoadExchange::ownZoneLoads(TimePoint now) const {
  std::vector<ReportedZoneLoad> list;
  std::size_t nameBytes = 0;
  for (NameTable::Id service = 0; service < Services.size(); ++service) {
    if (!Services[service].IsShared)
      continue;
    for (const auto &it : ownLoads(service, now)) {
      const auto &zoneName = Directory.zoneNames().nameOf(it.Zone);
      const auto &serviceName = Directory.serviceNames().nameOf(service);
      nameBytes += zoneName.size() + serviceName.size();
      if (list.size() == GossipCodec::MaxZoneLoads ||
          nameBytes > GossipCodec::MaxZoneLoadNameBytes)
        return list;
      list.push_back({zoneName, serviceName, it.Outstanding, it.Rate});
    }
  }
  return list;
}

RemoteLoad LoadExchange::elsewhere(ServerId server, TimePoint now) const {
  const auto it = Totals.find(Directory.at(server).Registration.Identity);
  if (it == Totals.end() || now - it->second.At > staleAfter())
    return {};
  return {it->second.Outstanding, it->second.OpenFlows};
}

double LoadExchange::slotsOf(NameTable::Id service, NameTable::Id zone) const {
  double slots = 0;
  for (const auto id : Directory.serversOf(service)) {
    const auto &server = Directory.at(id);
    if (server.Zone == zone && server.Registration.State == ServerState::Ready)
      slots += server.Registration.Slots;
  }
  return slots;
}

std::optional<LoadExchange::ServiceInZone>
LoadExchange::loadBy(const std::string &senderZone, NameTable::Id service,
                     NameTable::Id zone, TimePoint now) const {
  ServiceInZone sum{service, zone, 0, 0};
  std::size_t count = 0;
  const auto add = [&](const std::vector<ServiceInZone> &loads) {
    // A host that does not share the service yet tells nothing about it.
    if (std::ranges::find(loads, service, &ServiceInZone::Service) ==
        loads.end())
      return;
    ++count;
    for (const auto &it : loads) {
      if (it.Service != service || it.Zone != zone)
        continue;
      sum.Outstanding += it.Outstanding;
      sum.Rate += it.Rate;
    }
  };
  const auto recent = Limits.StaleIntervals * Limits.MinInterval;
  const auto addReports = [&](milliseconds from, milliseconds to) {
    for (const auto &[host, report] : ZoneReports) {
      const auto age = now - report.At;
      if (report.SenderZone == senderZone && age > from && age <= to)
        add(report.Loads);
    }
  };
  addReports(milliseconds(-1), recent);
  if (count < Limits.MinZoneSamples)
    addReports(recent, 2 * recent);
  const auto hosts = Zones.find(senderZone);
  const auto hostCount = hosts == Zones.end() ? 1 : hosts->second.size();
  const bool isOwn = senderZone == Peers.self().Zone;
  if (count == 0 && (!isOwn || hostCount > 1))
    return std::nullopt;
  if (isOwn)
    add(ownLoads(service, now));
  const double scale =
      static_cast<double>(hostCount) / static_cast<double>(count);
  sum.Outstanding *= scale;
  sum.Rate *= scale;
  return sum;
}

std::optional<routing::ZoneLoad> LoadExchange::zoneLoad(NameTable::Id service,
                                                        NameTable::Id zone,
                                                        TimePoint now) const {
  return isShared(service) ? reportedLoad(service, zone, now) : std::nullopt;
}

std::optional<routing::ZoneLoad>
LoadExchange::reportedLoad(NameTable::Id service, NameTable::Id zone,
                           TimePoint now) const {
  std::optional<routing::ZoneLoad> load;
  for (const auto &[senderZone, hosts] : Zones) {
    const auto part = loadBy(senderZone, service, zone, now);
    if (!part) {
      // Most of the load of a zone is caused by its own hosts.
      if (senderZone == Directory.zoneNames().nameOf(zone))
        return std::nullopt;
      continue;
    }
    if (!load)
      load.emplace();
    load->Outstanding += part->Outstanding;
    load->Rate += part->Rate;
  }
  if (load)
    load->Slots = slotsOf(service, zone);
  return load;
}

bool LoadExchange::isShared(NameTable::Id service) const {
  return service < Services.size() && Services[service].IsShared;
}

std::size_t LoadExchange::sharedCount() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Services, [](const auto &it) { return it.IsShared; }));
}

milliseconds LoadExchange::totalAge(TimePoint now) const {
  auto oldest = now;
  for (const auto &[identity, total] : Totals)
    oldest = std::min(oldest, total.At);
  return std::chrono::duration_cast<milliseconds>(now - oldest);
}

} // namespace auburnroute::fleet
