#include "Fleet/OutlierDetector.h"

#include "Fleet/EvidenceOwners.h"
#include "Fleet/GossipCodec.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace auburnroute::fleet {

using common::TimePoint;
using routing::DegradedServers;
using routing::ServerId;
using std::chrono::milliseconds;

namespace {

/// How long the list of the zone's hosts is used.
constexpr milliseconds ZoneHostsLifetime{500};
/// After a longer pause what was collected is outdated.
constexpr milliseconds MaxPollGap{300};

} // namespace

bool OutlierDetector::ByteBudget::tryTake(std::size_t bytes, double perSecond,
                                          double burst, double reserve,
                                          TimePoint now) {
  const auto passed = std::chrono::duration<double>(now - FilledAt).count();
  Left = std::min(burst, Left + passed * perSecond);
  FilledAt = now;
  if (static_cast<double>(bytes) + reserve > Left)
    return false;
  Left -= static_cast<double>(bytes);
  return true;
}

const std::vector<std::uint32_t> &OutlierDetector::zoneHosts(TimePoint now) {
  if (ZoneHosts.empty() || now - ZoneHostsAt > ZoneHostsLifetime) {
    ZoneHosts = Peers.hostsInZone(now);
    ZoneHostsAt = now;
  }
  return ZoneHosts;
}

void OutlierDetector::poll(TimePoint now) {
  if (now - std::exchange(LastPollAt, now) > MaxPollGap)
    Cases.clear();
  Outcomes.advance(now);
  reportOutcomes(now);
  decide(now);
  for (const auto &[server, duration] : Degraded.takeEnded(now))
    Observer.onDegradedEnd(server, duration);
}

void OutlierDetector::watch(ServerId id, TimePoint now) {
  auto &report = Reports[id];
  if (now >= report.WatchedUntil)
    report.ReportedAt = {};
  report.WatchedUntil = now + Messages.WatchTime;
}

void OutlierDetector::reportOutcomes(TimePoint now) {
  for (const auto id : Outcomes.takeFailing())
    if (Rule.isReportable(Outcomes.outcomesOf(id, now)))
      Reports[id].IsFailing = true;
  std::map<std::uint32_t, GossipMessage> messages;
  const auto sendOrForget = [&](ServerId id, Reporting &report) {
    const bool isWatched = now < report.WatchedUntil;
    if (now - report.ReportedAt < (report.IsFailing
                                       ? Messages.FailureReportInterval
                                       : Messages.ReportInterval))
      return false;
    const auto &registration = Directory.at(id).Registration;
    const auto outcomes = Outcomes.outcomesOf(id, now);
    if (!std::exchange(report.IsFailing, false) && !isWatched)
      return true;
    report.ReportedAt = now;
    for (const auto owner :
         EvidenceOwners::choose(registration.Identity, zoneHosts(now),
                                EvidenceOwners::PerServer)) {
      if (owner == Peers.self().Address) {
        Cases.onReport(registration.Identity, registration.StartTimeMs, owner,
                       outcomes, registration.Slots, now);
        continue;
      }
      auto &message = messages[owner];
      message.OutcomeReports.push_back(
          {registration.Identity, registration.StartTimeMs, outcomes});
      if (message.OutcomeReports.size() == GossipCodec::MaxReports)
        sendReports(owner, std::exchange(message, {}), now);
    }
    return false;
  };
  for (auto it = Reports.begin(); it != Reports.end();)
    it =
        sendOrForget(it->first, it->second) ? Reports.erase(it) : std::next(it);
  for (auto &[owner, message] : messages)
    if (!message.OutcomeReports.empty())
      sendReports(owner, std::move(message), now);
}

void OutlierDetector::sendReports(std::uint32_t to, GossipMessage message,
                                  TimePoint now) {
  message.Sender = Peers.self();
  // A report that the byte limit holds back is renewed soon.
  if (ReportBytes.tryTake(GossipCodec::encode(message).size(),
                          Messages.ReportBytesPerSecond, Messages.ReportBurst,
                          0, now))
    Out.push_back({std::move(message), {to}});
}

bool OutlierDetector::sendToZone(const std::vector<OutlierVerdict> &verdicts,
                                 bool isUrgent, TimePoint now) {
  Outgoing out;
  out.Message.Sender = Peers.self();
  out.Message.OutlierVerdicts = verdicts;
  out.To = zoneHosts(now);
  std::erase(out.To, Peers.self().Address);
  const auto bytes = GossipCodec::encode(out.Message).size() * out.To.size();
  const auto cost = static_cast<double>(bytes);
  if (!ZoneBytes.tryTake(
          bytes, Messages.ZoneBytesPerSecond,
          std::max(Messages.ZoneBurst, Messages.MinZoneBurst * cost),
          isUrgent ? 0 : cost, now))
    return false;
  if (!out.To.empty())
    Out.push_back(std::move(out));
  return true;
}

void OutlierDetector::decide(TimePoint now) {
  const auto hostCount = static_cast<std::uint32_t>(zoneHosts(now).size());
  std::vector<OutlierCases::Decision> verdicts;
  std::vector<OutlierCases::Decision> others;
  for (const auto &it :
       Cases.decisions(hostCount, Messages.WatchInterval, now)) {
    const auto *server = Directory.findByIdentity(it.Identity);
    if (server == nullptr ||
        server->Registration.StartTimeMs != it.StartTimeMs ||
        server->Registration.State != routing::ServerState::Ready)
      continue;
    const bool isVerdict = it.Level > 0 && !it.IsReminder;
    if (isVerdict && Degraded.levelOf(Directory.idOf(*server), now) == 0 &&
        !Degraded.hasRoom(*server, now))
      continue;
    auto &list = isVerdict ? verdicts : others;
    // The rest follows at the next call.
    if (list.size() < GossipCodec::MaxReports)
      list.push_back(it);
  }
  announce(verdicts, /*isUrgent=*/true, now);
  announce(others, /*isUrgent=*/false, now);
}

void OutlierDetector::announce(
    const std::vector<OutlierCases::Decision> &decisions, bool isUrgent,
    TimePoint now) {
  std::vector<OutlierVerdict> verdicts;
  verdicts.reserve(decisions.size());
  for (const auto &it : decisions)
    verdicts.push_back(
        {it.Identity, it.StartTimeMs, it.Level, it.Hold, it.Kind});
  if (verdicts.empty() || !sendToZone(verdicts, isUrgent, now))
    return;
  for (std::size_t n = 0; n < decisions.size(); ++n) {
    Cases.onDone(decisions[n], now);
    apply(verdicts[n], Peers.self().Address,
          decisions[n].IsReminder ? nullptr : &decisions[n].Evidence, now);
  }
}

void OutlierDetector::apply(const OutlierVerdict &verdict,
                            std::uint32_t decider,
                            const routing::OutlierEvidence *evidence,
                            TimePoint now) {
  const auto reject = [&](EvidenceRejection why) {
    Observer.onRejected(why, verdict.Identity, decider);
  };
  const auto *server = Directory.findByIdentity(verdict.Identity);
  if (server == nullptr)
    return reject(EvidenceRejection::UnknownServer);
  if (server->Registration.StartTimeMs != verdict.StartTimeMs)
    return reject(EvidenceRejection::OtherRun);
  const auto id = Directory.idOf(*server);
  watch(id, now);
  if (verdict.Level == 0)
    return;
  const auto outcome =
      Degraded.apply(id, decider, verdict.Level, verdict.Hold, now);
  if (outcome == DegradedServers::Outcome::TooMany)
    return reject(EvidenceRejection::TooMany);
  OutlierEvent event{.Server = id,
                     .Kind = verdict.Kind,
                     .Level = verdict.Level,
                     .Hold = verdict.Hold,
                     .DecidedBy = decider,
                     .IsNew = outcome == DegradedServers::Outcome::New};
  if (evidence != nullptr)
    event.Evidence = *evidence;
  Observer.onDegraded(event);
}

void OutlierDetector::onMessage(const GossipMessage &message, TimePoint now) {
  for (const auto &it : message.OutcomeReports)
    onReport(it, message.Sender.Address, now);
  for (const auto &it : message.OutlierVerdicts)
    onVerdict(it, message.Sender, now);
}

void OutlierDetector::onReport(const OutcomeReport &report,
                               std::uint32_t reporter, TimePoint now) {
  const auto *server = Directory.findByIdentity(report.Identity);
  if (server == nullptr) {
    Observer.onRejected(EvidenceRejection::UnknownServer, report.Identity,
                        reporter);
    return;
  }
  if (server->Registration.StartTimeMs != report.StartTimeMs) {
    Observer.onRejected(EvidenceRejection::OtherRun, report.Identity, reporter);
    return;
  }
  if (std::ranges::find(zoneHosts(now), reporter) == zoneHosts(now).end()) {
    Observer.onRejected(EvidenceRejection::OtherZone, report.Identity,
                        reporter);
    return;
  }
  Cases.onReport(report.Identity, report.StartTimeMs, reporter, report.Outcomes,
                 server->Registration.Slots, now);
}

void OutlierDetector::onVerdict(const OutlierVerdict &verdict,
                                const PeerInfo &sender, TimePoint now) {
  if (sender.Zone != Peers.self().Zone) {
    Observer.onRejected(EvidenceRejection::OtherZone, verdict.Identity,
                        sender.Address);
    return;
  }
  const auto owners = EvidenceOwners::choose(verdict.Identity, zoneHosts(now),
                                             EvidenceOwners::AcceptedPerServer);
  if (std::ranges::find(owners, sender.Address) == owners.end()) {
    Observer.onRejected(EvidenceRejection::NotOwner, verdict.Identity,
                        sender.Address);
    return;
  }
  apply(verdict, sender.Address, nullptr, now);
}

std::vector<OutlierDetector::Outgoing> OutlierDetector::takeOutgoing() {
  return std::exchange(Out, {});
}

} // namespace auburnroute::fleet
