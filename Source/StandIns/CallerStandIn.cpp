#include "StandIns/CallerStandIn.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cmath>

namespace auburnroute::standins {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds MessageInterval{200};
constexpr milliseconds ReopenDelay{500};
// Connecting times out after 1 + 2 + 4 s.
constexpr unsigned SynRetries = 2;

TcpOptions tcpOptions() {
  TcpOptions options;
  options.SynRetries = SynRetries;
  return options;
}

milliseconds elapsed(common::TimePoint from, common::TimePoint to) {
  return std::chrono::duration_cast<milliseconds>(to - from);
}

} // namespace

CallerStandIn::CallerStandIn(const state::Settings &settings,
                             CallerOptions options)
    : Options(std::move(options)), Random(Options.Seed),
      Tcp(Options.Seed ^ 0x5EED, tcpOptions()),
      NextPortOffset(Options.CallerCount) {
  for (const auto &service : settings.Services)
    for (const auto &listener : service.Listeners) {
      auto &targets = listener.Kind == state::ListenerKind::Feed
                          ? FeedTargets
                          : RequestTargets;
      targets.insert(targets.end(), service.BackendServers.size(),
                     {service.Name, listener.Address});
    }
}

void CallerStandIn::start(common::TimePoint now) {
  IsSending = !RequestTargets.empty() && Options.RequestsPerSecond > 0;
  NextArrival = now;
  for (std::size_t i = 0; i < Options.FeedCount && !FeedTargets.empty(); ++i)
    openFeed(now, FeedTargets[Random() % FeedTargets.size()]);
}

void CallerStandIn::finish(common::TimePoint now) {
  IsFinished = true;
  IsSending = false;
  for (auto &[id, request] : Requests) {
    if (request.IsEstablished)
      recordUnknownOutcome(now, request, "no answer before the end of the run");
    else
      recordNotRun(request);
    Tcp.abort(now, id);
  }
  Requests.clear();
  for (const auto &[id, feed] : Feeds) {
    recordIdleTime(now, feed);
    Tcp.close(now, id);
  }
  Feeds.clear();
}

void CallerStandIn::onDatagram(common::TimePoint now,
                               std::span<std::byte> datagram) {
  Tcp.onDatagram(now, datagram);
  handleEvents(now);
}

void CallerStandIn::onTimer(common::TimePoint now) {
  Tcp.onTimer(now);
  handleEvents(now);
  sendDueRequests(now);
  expireRequests(now);
  runFeeds(now);
}

std::vector<std::vector<std::byte>> CallerStandIn::takePackets() {
  return Tcp.takePackets();
}

std::size_t CallerStandIn::pendingRequests() const {
  return static_cast<std::size_t>(
      std::count_if(Requests.begin(), Requests.end(),
                    [](const auto &it) { return !it.second.HasOutcome; }));
}

void CallerStandIn::handleEvents(common::TimePoint now) {
  for (const auto &event : Tcp.takeEvents())
    std::visit([&](const auto &it) { onEvent(now, it); }, event);
}

void CallerStandIn::onEvent(common::TimePoint now, const Connected &event) {
  if (const auto it = Requests.find(event.Id); it != Requests.end()) {
    auto &request = it->second;
    request.IsEstablished = true;
    Tcp.send(now, event.Id,
             absl::StrCat("REQ ", request.Service, " ", request.Id, " ",
                          request.Work.count(), "\n"));
  }
  if (const auto it = Feeds.find(event.Id); it != Feeds.end()) {
    it->second.IsEstablished = true;
    it->second.NextMessage = now;
    it->second.LastReceivedAt = now;
    ++Log.FeedsOpened;
  }
}

void CallerStandIn::onEvent(common::TimePoint now, const Received &event) {
  if (const auto it = Requests.find(event.Id); it != Requests.end()) {
    it->second.Input.append(event.Bytes);
    while (const auto line = it->second.Input.takeLine())
      onAnswer(now, it->second, *line);
    return;
  }
  auto it = Feeds.find(event.Id);
  if (it == Feeds.end())
    return;
  recordIdleTime(now, it->second);
  it->second.LastReceivedAt = now;
  it->second.Input.append(event.Bytes);
  while (const auto line = it->second.Input.takeLine()) {
    onFeedLine(now, event.Id, it->second, *line);
    it = Feeds.find(event.Id);
    if (it == Feeds.end())
      return;
  }
}

void CallerStandIn::onEvent(common::TimePoint now, const PeerClosed &event) {
  if (const auto it = Requests.find(event.Id); it != Requests.end())
    recordUnknownOutcome(now, it->second, "closed without an answer");
  endFeed(now, event.Id, "closed");
  Tcp.close(now, event.Id);
}

void CallerStandIn::onEvent(common::TimePoint, const Closed &event) {
  Requests.erase(event.Id);
}

void CallerStandIn::onEvent(common::TimePoint now, const Refused &event) {
  if (const auto it = Requests.find(event.Id); it != Requests.end()) {
    recordNotRun(it->second);
    Requests.erase(it);
  }
  endFeed(now, event.Id, "refused");
}

void CallerStandIn::onEvent(common::TimePoint now, const Reset &event) {
  if (const auto it = Requests.find(event.Id); it != Requests.end()) {
    recordUnknownOutcome(now, it->second, "reset");
    Requests.erase(it);
  }
  endFeed(now, event.Id, "reset");
}

void CallerStandIn::onEvent(common::TimePoint now, const TimedOut &event) {
  if (const auto it = Requests.find(event.Id); it != Requests.end()) {
    if (event.WasEstablished)
      recordUnknownOutcome(now, it->second, "timeout");
    else
      recordNotRun(it->second);
    Requests.erase(it);
  }
  endFeed(now, event.Id, "timeout");
}

void CallerStandIn::sendDueRequests(common::TimePoint now) {
  while (IsSending && NextArrival <= now) {
    sendRequest(now);
    // Exponential gaps make the arrivals a Poisson process.
    const std::chrono::duration<double> gap(-std::log(1.0 - randomFraction()) /
                                            Options.RequestsPerSecond);
    NextArrival += std::chrono::duration_cast<common::TimePoint::duration>(gap);
  }
}

void CallerStandIn::sendRequest(common::TimePoint now) {
  const auto &target = RequestTargets[Random() % RequestTargets.size()];
  const auto local = nextLocalEndpoint(target.Address);
  const auto work = randomWorkTime();
  if (!local) {
    ++Log.RequestsSkipped;
    return;
  }
  Request request;
  request.Id = absl::StrCat(Options.IdPrefix, "-", NextRequest++);
  request.Service = target.Service;
  request.Work = work;
  request.StartedAt = now;
  ++Log.RequestsSent;
  Requests[Tcp.connect(now, *local, target.Address)] = std::move(request);
}

void CallerStandIn::expireRequests(common::TimePoint now) {
  for (auto it = Requests.begin(); it != Requests.end();) {
    auto &request = it->second;
    if (request.HasOutcome || !request.IsEstablished ||
        elapsed(request.StartedAt, now) < Options.AnswerTimeout) {
      ++it;
      continue;
    }
    recordUnknownOutcome(now, request, "no answer in time");
    Tcp.abort(now, it->first);
    it = Requests.erase(it);
  }
}

void CallerStandIn::onAnswer(common::TimePoint now, Request &request,
                             const std::string &line) {
  const auto words = splitWords(line);
  if (request.HasOutcome || words.size() < 4 || words[0] != "OK" ||
      words[1] != request.Service || words[2] != request.Id) {
    ++Log.WrongAnswers;
    recordUnknownOutcome(now, request, "wrong answer");
    return;
  }
  request.HasOutcome = true;
  Log.Answered.push_back(request.Id);
  Log.WaitTimes.push_back(std::max(
      milliseconds(0), elapsed(request.StartedAt, now) - request.Work));
}

void CallerStandIn::recordUnknownOutcome(common::TimePoint now,
                                         Request &request,
                                         const std::string &reason) {
  if (request.HasOutcome)
    return;
  request.HasOutcome = true;
  Log.UnknownOutcomes.push_back(
      {request.Id, request.Service, request.StartedAt, now, reason});
}

void CallerStandIn::recordNotRun(Request &request) {
  if (request.HasOutcome)
    return;
  request.HasOutcome = true;
  Log.KnownNotRun.push_back(request.Id);
}

void CallerStandIn::openFeed(common::TimePoint now, const Target &target) {
  const auto local = nextLocalEndpoint(target.Address);
  if (!local) {
    ++Log.FeedsRefused;
    PendingReopens.push_back({now + ReopenDelay, target});
    return;
  }
  Feeds[Tcp.connect(now, *local, target.Address)].Destination = target;
}

void CallerStandIn::runFeeds(common::TimePoint now) {
  if (IsFinished)
    return;
  std::vector<Target> due;
  for (const auto &it : PendingReopens)
    if (it.Due <= now)
      due.push_back(it.Destination);
  std::erase_if(PendingReopens,
                [now](const PendingReopen &it) { return it.Due <= now; });
  for (const auto &target : due)
    openFeed(now, target);
  for (auto &[id, feed] : Feeds) {
    if (!feed.IsEstablished || now < feed.NextMessage)
      continue;
    feed.NextMessage += MessageInterval;
    Tcp.send(
        now, id,
        absl::StrCat("MSG ", feed.Destination.Service, " ", ++feed.Sent, "\n"));
  }
}

void CallerStandIn::onFeedLine(common::TimePoint now, ConnectionId id,
                               Feed &feed, const std::string &line) {
  const auto words = splitWords(line);
  std::uint64_t n = 0;
  if (words.size() != 4 || words[1] != feed.Destination.Service ||
      !absl::SimpleAtoi(words[3], &n)) {
    ++Log.WrongAnswers;
    return;
  }
  if (feed.Server.empty())
    feed.Server = words[2];
  if (feed.Server != words[2])
    ++Log.WrongAnswers;
  auto &last = words[0] == "ECHO" ? feed.Echoed : feed.Pushed;
  ++Log.FeedMessages;
  if (n == ++last)
    return;
  Tcp.abort(now, id);
  endFeed(now, id, "gap");
}

void CallerStandIn::endFeed(common::TimePoint now, ConnectionId id,
                            const std::string &reason) {
  const auto it = Feeds.find(id);
  if (it == Feeds.end())
    return;
  const auto &feed = it->second;
  if (feed.IsEstablished) {
    recordIdleTime(now, feed);
    Log.BrokenFeeds.push_back({now, feed.LastReceivedAt,
                               feed.Destination.Service, feed.Server, reason});
  } else {
    ++Log.FeedsRefused;
  }
  PendingReopens.push_back({now + ReopenDelay, feed.Destination});
  Feeds.erase(it);
}

void CallerStandIn::recordIdleTime(common::TimePoint now, const Feed &feed) {
  if (feed.IsEstablished)
    Log.MaxFeedIdleTime =
        std::max(Log.MaxFeedIdleTime, elapsed(feed.LastReceivedAt, now));
}

std::optional<common::Endpoint>
CallerStandIn::nextLocalEndpoint(const common::Endpoint &remote) {
  const auto caller = NextCaller++ % Options.CallerCount;
  const auto address =
      Options.FirstAddress + static_cast<std::uint32_t>(caller);
  for (std::uint16_t i = 0; i < Options.PortsPerCaller; ++i) {
    const auto offset = NextPortOffset[caller];
    NextPortOffset[caller] =
        static_cast<std::uint16_t>((offset + 1) % Options.PortsPerCaller);
    const common::Endpoint local{
        address, static_cast<std::uint16_t>(Options.FirstPort + offset)};
    if (!Tcp.isInUse(local, remote))
      return local;
  }
  return std::nullopt;
}

milliseconds CallerStandIn::randomWorkTime() {
  const bool straggler = randomFraction() < Options.StragglerShare;
  const auto min = straggler ? Options.StragglerWorkMin : Options.ShortWorkMin;
  const auto max = straggler ? Options.StragglerWorkMax : Options.ShortWorkMax;
  return min +
         milliseconds(static_cast<std::int64_t>(
             randomFraction() * static_cast<double>((max - min).count() + 1)));
}

double CallerStandIn::randomFraction() {
  constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53.
  return static_cast<double>(Random() >> 11) * Scale;
}

} // namespace auburnroute::standins
