#include "Fleet/SharedFailureDetector.h"

#include "Fleet/EvidenceOwners.h"
#include "Fleet/GossipCodec.h"

#include <algorithm>
#include <utility>

namespace auburnroute::fleet {

using common::TimePoint;
using routing::ServerId;
using std::chrono::milliseconds;

namespace {

/// How long the list of the zone's hosts is used. Hosts learn of a new or dead
/// one by gossip, which takes longer.
constexpr milliseconds ZoneHostsLifetime{500};
/// After a longer pause the ages of the collected evidence are wrong.
constexpr milliseconds MaxRunGap{300};
/// After a longer pause the answers to an announced suspicion may still wait in
/// the socket, so that the time to refute it begins anew.
constexpr milliseconds MaxPollGap{100};

milliseconds ageOf(TimePoint time, TimePoint now) {
  return std::chrono::duration_cast<milliseconds>(now - time);
}

} // namespace

std::string_view toString(EvidenceRejection why) {
  switch (why) {
  case EvidenceRejection::UnknownServer:
    return "unknown_server";
  case EvidenceRejection::OtherRun:
    return "other_run";
  case EvidenceRejection::NotOwner:
    return "not_owner";
  case EvidenceRejection::OtherZone:
    return "other_zone";
  case EvidenceRejection::Refuted:
    return "refuted";
  case EvidenceRejection::TooMany:
    return "too_many";
  }
  return "invalid";
}

const std::vector<std::uint32_t> &
SharedFailureDetector::zoneHosts(TimePoint now) {
  if (ZoneHosts.empty() || now - ZoneHostsAt > ZoneHostsLifetime) {
    ZoneHosts = Peers.hostsInZone(now);
    ZoneHostsAt = now;
  }
  return ZoneHosts;
}

std::vector<std::uint32_t>
SharedFailureDetector::ownersOf(std::uint64_t identity, TimePoint now) {
  return EvidenceOwners::choose(identity, zoneHosts(now),
                                EvidenceOwners::PerServer);
}

GossipMessage &SharedFailureDetector::messageTo(std::uint32_t host) {
  auto &messages = ToHosts[host];
  if (messages.empty() ||
      messages.back().Suspects.size() == GossipCodec::MaxSuspects ||
      messages.back().Verdicts.size() == GossipCodec::MaxVerdicts ||
      messages.back().Answers.size() == GossipCodec::MaxVerdicts) {
    messages.emplace_back();
    messages.back().Sender = Peers.self();
  }
  return messages.back();
}

void SharedFailureDetector::discardIfPaused(TimePoint now) {
  if (LastRunAt != TimePoint() && now - LastRunAt > MaxRunGap) {
    Aggregator.clear();
    Unreported.clear();
    Health.takeRetransmissions();
  } else if (now - LastRunAt > MaxPollGap) {
    Aggregator.restartRefutation(now);
  }
  LastRunAt = now;
}

void SharedFailureDetector::poll(TimePoint now) {
  discardIfPaused(now);
  for (const auto &it : Standing.takeEnded(now))
    Observer.onVerdictEnd(it);
  reportRetransmissions(now);
  reportAnswers(now);
  decide(now);
}

void SharedFailureDetector::reportRetransmissions(TimePoint now) {
  for (const auto id : Health.takeRetransmissions())
    if (std::ranges::find(Unreported, id) == Unreported.end())
      Unreported.push_back(id);
  std::erase_if(Unreported, [&](ServerId id) {
    const auto &server = Directory.at(id);
    const auto evidence = Health.evidence(id, server.Zone, now);
    // Kept while no other server has answered a later packet yet.
    if (!evidence)
      return !Health.hasRetransmissions(id, now);
    const auto &registration = server.Registration;
    Health.watch(id);
    for (const auto owner : ownersOf(registration.Identity, now)) {
      if (owner == Peers.self().Address)
        Aggregator.onReport(registration.Identity, registration.StartTimeMs,
                            owner, *evidence, now);
      else
        messageTo(owner).Suspects.push_back(
            {registration.Identity, ageOf(evidence->Since, now),
             evidence->RequestCount, evidence->SynCount, evidence->Caller,
             evidence->HasSeveralCallers});
    }
    return true;
  });
}

void SharedFailureDetector::reportAnswers(TimePoint now) {
  for (const auto id : Health.takeAnswered())
    tellOwners(id, Health.activity(id).LastAnswer, now);
}

void SharedFailureDetector::tellOwners(ServerId id, TimePoint answeredAt,
                                       TimePoint now) {
  const auto identity = Directory.at(id).Registration.Identity;
  for (const auto owner : ownersOf(identity, now)) {
    if (owner == Peers.self().Address)
      Aggregator.onAnswer(identity, answeredAt, owner);
    else
      messageTo(owner).Answers.push_back({identity, ageOf(answeredAt, now)});
  }
}

void SharedFailureDetector::decide(TimePoint now) {
  GossipMessage message;
  message.Sender = Peers.self();
  const auto sendToZone = [&] {
    Outgoing out{message, zoneHosts(now)};
    std::erase(out.To, Peers.self().Address);
    ToZone.push_back(std::move(out));
    message.Verdicts.clear();
  };
  for (const auto &it : Aggregator.takeDecisions(Health.answerQuality(),
                                                 zoneHosts(now).size(), now)) {
    // The verdict of a host that has seen a later answer itself is void.
    const bool isValid = apply(it.Verdict, Peers.self().Address, &it, now);
    if (!isValid)
      continue;
    if (it.OnlyTo) {
      if (*it.OnlyTo != Peers.self().Address)
        messageTo(*it.OnlyTo).Verdicts.push_back(it.Verdict);
      continue;
    }
    message.Verdicts.push_back(it.Verdict);
    if (message.Verdicts.size() == GossipCodec::MaxVerdicts)
      sendToZone();
  }
  if (!message.Verdicts.empty())
    sendToZone();
}

bool SharedFailureDetector::apply(const ServerVerdict &verdict,
                                  std::uint32_t sender,
                                  const FailureAggregator::Decision *own,
                                  TimePoint now) {
  const auto reject = [&](EvidenceRejection why) {
    Observer.onRejected(why, verdict.Identity, sender);
    return false;
  };
  const auto *server = Directory.findByIdentity(verdict.Identity);
  if (server == nullptr)
    return reject(EvidenceRejection::UnknownServer);
  if (server->Registration.StartTimeMs != verdict.StartTimeMs)
    return reject(EvidenceRejection::OtherRun);
  const auto id = Directory.idOf(*server);
  const auto at = now - verdict.Age;
  const bool wasDead = Health.activity(id).DeadUntil > now;
  VerdictEvent event{.Server = id,
                     .Kind = verdict.Kind,
                     .Age = verdict.Age,
                     .DecidedBy = sender};
  if (own != nullptr) {
    event.Basis = own->Basis;
    event.AnswerSeenBy = own->AnswerSeenBy;
  }
  // Another owner may have decided the same before. The line of each has its
  // evidence.
  const auto observe = [&](bool isNew) {
    event.IsNew = isNew;
    if (isNew || (own != nullptr && own->IsFirst))
      Observer.onVerdict(event);
  };
  // The last verdict may have ended since the last poll.
  if (const auto end = Standing.takeEnded(id, now))
    Observer.onVerdictEnd(*end);
  if (verdict.Kind == VerdictKind::Answering) {
    const bool wasSuspect = Health.isSuspect(id, now);
    Health.onPeerAnswer(id, at);
    observe(wasSuspect && !Health.isSuspect(id, now));
    if (auto end = Standing.takeEnded(id, now)) {
      end->Why = VerdictEndReason::PeerAnswer;
      end->Age = verdict.Age;
      end->ToldBy = sender;
      end->AnswerSeenBy = event.AnswerSeenBy;
      Observer.onVerdictEnd(*end);
    }
    return true;
  }
  if (Health.activity(id).LastAnswer > at) {
    tellOwners(id, Health.activity(id).LastAnswer, now);
    return reject(EvidenceRejection::Refuted);
  }
  Health.watch(id);
  if (verdict.Kind == VerdictKind::Suspected) {
    const bool isNew = Health.onReport(id, at, now);
    if (isNew)
      Standing.onApplied(id, verdict.Kind, sender, now);
    observe(isNew);
    return true;
  }
  const bool isApplied = Health.onDeadVerdict(id, at, now);
  if (isApplied && !wasDead)
    Dead.push_back(id);
  if (isApplied)
    Standing.onApplied(id, verdict.Kind, sender, now);
  observe(isApplied && !wasDead);
  return true;
}

void SharedFailureDetector::onMessage(const GossipMessage &message,
                                      TimePoint now) {
  discardIfPaused(now);
  for (const auto &it : message.Suspects)
    if (it.hasEvidence())
      onSuspect(it, message.Sender.Address, now);
  for (const auto &it : message.Answers)
    onAnswer(it, message.Sender.Address, now);
  for (const auto &it : message.Verdicts)
    onVerdict(it, message.Sender, now);
  if (!message.Suspects.empty())
    decide(now);
}

void SharedFailureDetector::onSuspect(const ReportedSuspect &suspect,
                                      std::uint32_t reporter, TimePoint now) {
  const auto *server = Directory.findByIdentity(suspect.Identity);
  if (server == nullptr) {
    Observer.onRejected(EvidenceRejection::UnknownServer, suspect.Identity,
                        reporter);
    return;
  }
  const auto id = Directory.idOf(*server);
  const auto since = now - suspect.SilentFor;
  // The reporter may not know yet that the server has started again.
  if (since < server->RunSeenAt) {
    Observer.onRejected(EvidenceRejection::OtherRun, suspect.Identity,
                        reporter);
    return;
  }
  if (Health.activity(id).LastAnswer > since) {
    Observer.onRejected(EvidenceRejection::Refuted, suspect.Identity, reporter);
    return;
  }
  Aggregator.onReport(suspect.Identity, server->Registration.StartTimeMs,
                      reporter,
                      {.Since = since,
                       .RequestCount = suspect.RequestCount,
                       .SynCount = suspect.SynCount,
                       .Caller = suspect.Caller,
                       .HasSeveralCallers = suspect.HasSeveralCallers},
                      now);
}

void SharedFailureDetector::onAnswer(const ReportedAnswer &answer,
                                     std::uint32_t seenBy, TimePoint now) {
  Aggregator.onAnswer(answer.Identity, now - answer.Age, seenBy);
}

void SharedFailureDetector::onVerdict(const ServerVerdict &verdict,
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

std::vector<SharedFailureDetector::Outgoing>
SharedFailureDetector::takeOutgoing() {
  auto out = std::exchange(ToZone, {});
  for (auto &[host, messages] : std::exchange(ToHosts, {}))
    for (auto &message : messages)
      out.push_back({std::move(message), {host}});
  return out;
}

std::vector<ServerId> SharedFailureDetector::takeDead() {
  return std::exchange(Dead, {});
}

} // namespace auburnroute::fleet
