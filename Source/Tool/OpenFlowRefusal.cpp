#include "Tool/OpenFlowRefusal.h"

#include "Routing/ServerTag.h"
#include "platform/StoreCodec.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <map>
#include <set>

namespace auburnroute::tool {

namespace {

std::string countOf(std::int64_t n, const char *thing) {
  return absl::StrCat(n, " ", thing, n == 1 ? "" : "s");
}

} // namespace

bool OpenFlowRefusal::isExplained(const LogLine &line) {
  return line.Event == "refused" && (line.text("cause") == "unknown_server" ||
                                     line.text("cause") == "unknown_route" ||
                                     line.text("cause") == "server_gone");
}

OpenFlowRefusal::OpenFlowRefusal(const LogLine &line, std::size_t count,
                                 LogArchive &archive)
    : Line(line), Count(count), Archive(archive), IsReset(line.flag("reset")),
      Server(line.text("server")) {
  for (const auto &it : Archive.lines())
    if (it.Event == "start")
      if (const auto packets = it.text("packets"); !packets.empty())
        HostByAddress[packets.substr(0, packets.rfind(':'))] = it.Host;
  const auto reason = Line.text("reason");
  if (Line.text("cause") != "server_gone")
    explainUnknownServer();
  else if (reason == "verdict")
    explainVerdict();
  else if (reason == "lapsed_and_silent")
    explainLapsed();
  else if (reason == "address_taken")
    explainAddressTaken();
}

template <typename Predicate>
const LogLine *OpenFlowRefusal::lastBefore(Predicate accept) {
  const LogLine *last = nullptr;
  for (const auto &it : Archive.lines()) {
    if (it.TimeMs > Line.TimeMs)
      break;
    if (accept(it))
      last = &it;
  }
  return last;
}

std::string OpenFlowRefusal::hostAt(const std::string &address) const {
  const auto it = HostByAddress.find(address);
  return it == HostByAddress.end()
             ? absl::StrCat("host ", address)
             : absl::StrCat(it->second, " (", address, ")");
}

std::string OpenFlowRefusal::before(std::int64_t timeMs) const {
  return absl::StrCat(Line.TimeMs - timeMs, " ms before");
}

std::string OpenFlowRefusal::ownEvidence() const {
  return absl::StrCat(countOf(Line.number("requests"), "request"), " and ",
                      countOf(Line.number("syns"), "SYN"));
}

void OpenFlowRefusal::explainVerdict() {
  const auto isOfServer = [&](const LogLine &it, std::string_view event) {
    return it.Host == Line.Host && it.Event == event &&
           it.text("server") == Server && it.text("verdict") == "dead";
  };
  const auto *verdict =
      lastBefore([&](const auto &it) { return isOfServer(it, "verdict"); });
  const auto *end = lastBefore(
      [&](const auto &it) { return isOfServer(it, "verdict_ended"); });
  if (verdict != nullptr && end != nullptr && end->TimeMs > verdict->TimeMs)
    verdict = nullptr;
  std::string cause =
      absl::StrCat(Line.Host, " reset the flow because of the verdict that ",
                   Server, " was dead");
  if (verdict != nullptr)
    absl::StrAppend(&cause, ", which ", hostAt(verdict->text("decided_by")),
                    " had decided. It had stood on ", Line.Host, " for ",
                    Line.TimeMs - verdict->TimeMs, " ms and had come ",
                    verdict->number("age_ms"),
                    " ms after the first unanswered packet was sent");
  Causes.push_back(std::move(cause));
  if (verdict != nullptr)
    explainEvidence(*verdict);
  else
    Unknowns.push_back(absl::StrCat("who decided that ", Server,
                                    " was dead: the logs of ", Line.Host,
                                    " have no line of the verdict"));
  if (Line.number("requests") + Line.number("syns") > 0)
    Causes.push_back(
        absl::StrCat(Line.Host, " itself knew of ", ownEvidence(),
                     " without an answer, the first of them sent ",
                     before(Line.TimeMs - Line.number("silent_ms"))));
  explainAnswers(verdict != nullptr
                     ? verdict->TimeMs - verdict->number("age_ms")
                     : Line.TimeMs - Line.number("silent_ms"));
}

void OpenFlowRefusal::explainEvidence(const LogLine &verdict) {
  const auto decider = verdict.text("decided_by");
  const LogLine *decision = nullptr;
  // Lines of one verdict agree on the first unanswered packet. A host may learn
  // of it seconds later.
  const auto silentSince = [](const LogLine &it) {
    return it.TimeMs - it.number("age_ms");
  };
  const auto distance = [&](const LogLine &it) {
    return std::abs(silentSince(it) - silentSince(verdict));
  };
  for (const auto &it : Archive.lines())
    if (it.Event == "verdict" && it.text("server") == Server &&
        it.text("verdict") == "dead" && it.text("decided_by") == decider &&
        it.Fields.contains("reporters") &&
        distance(it) <= MaxVerdictDistanceMs &&
        (decision == nullptr || distance(it) < distance(*decision)))
      decision = &it;
  if (decision == nullptr) {
    Unknowns.push_back(absl::StrCat("what ", hostAt(decider),
                                    " decided the verdict from: its line is "
                                    "not in these logs"));
    return;
  }
  Causes.push_back(absl::StrCat(
      hostAt(decider), " decided ", before(decision->TimeMs), " from ",
      countOf(decision->number("requests"), "request"), " and ",
      countOf(decision->number("syns"), "SYN"), " of ",
      decision->flag("several_callers") ? "several callers" : "one caller",
      " without an answer, reported by ",
      countOf(decision->number("reporters"), "host"),
      "; the slowest of its recent answers had taken ",
      decision->number("slowest_answer_ms"), " ms, and ",
      decision->flag("many_retransmissions") ? "many" : "few",
      " of its answered requests had been retransmitted"));
}

void OpenFlowRefusal::explainLapsed() {
  const auto *lapse = lastBefore([&](const LogLine &it) {
    return it.Host == Line.Host && it.Event == "server" &&
           it.text("server") == Server && it.text("state") == "lapsed";
  });
  Causes.push_back(absl::StrCat(
      Line.Host, " reset the flow because the registry entry of ", Server,
      " had lapsed",
      lapse == nullptr ? "" : absl::StrCat(" ", before(lapse->TimeMs)),
      " and it was silent: ", Line.Host, " knew of ", ownEvidence(),
      " without an answer, the first of them sent ",
      before(Line.TimeMs - Line.number("silent_ms"))));
  explainAnswers(Line.TimeMs - Line.number("silent_ms"));
}

void OpenFlowRefusal::explainAddressTaken() {
  std::string address;
  for (const auto &it : Archive.lines())
    if (it.Event == "server" && it.text("server") == Server)
      address = it.text("address");
  const auto *other = lastBefore([&](const LogLine &it) {
    return !address.empty() && it.Event == "server" &&
           it.text("server") != Server && it.text("address") == address &&
           it.text("state") != "lapsed";
  });
  Causes.push_back(absl::StrCat(
      Line.Host, " reset the flow because the registry entry of ", Server,
      " had lapsed and another server had registered with its address",
      other == nullptr ? std::string()
                       : absl::StrCat(" ", address, ": ", other->text("server"),
                                      " of service ", other->text("service"),
                                      ", ", before(other->TimeMs))));
  if (other == nullptr)
    Unknowns.push_back(
        absl::StrCat("which server took the address of ", Server));
  explainAnswers(Line.TimeMs);
}

std::string OpenFlowRefusal::tagOwner() const {
  std::uint32_t tag = 0;
  if (!absl::SimpleHexAtoi(Line.text("tag"), &tag))
    return {};
  std::set<std::string> names;
  for (const auto &it : Archive.lines())
    names.insert(it.text("server"));
  for (const auto &name : names)
    if (const auto identity = platform::StoreCodec::identityOf(name))
      if (const auto tags = routing::ServerTag::of(*identity);
          std::ranges::find(tags, tag) != tags.end())
        return name;
  return {};
}

void OpenFlowRefusal::explainUnknownServer() {
  const auto tag = Line.text("tag");
  Causes.push_back(absl::StrCat(
      Line.Host,
      IsReset
          ? " reset the flow"
          : absl::StrCat(" dropped ",
                         countOf(static_cast<std::int64_t>(Count), "packet")),
      Line.text("cause") == "unknown_route"
          ? " because it had no route of the address yet, and no living server"
          : " because it knew no server",
      " with the tag", tag.empty() ? "" : absl::StrCat(" ", tag),
      " of the flow; its view was at", " revision ", Line.number("revision"),
      ", ", Line.number("view_age_ms"), " ms old"));
  if (Server.empty())
    Server = tagOwner();
  if (Server.empty()) {
    Unknowns.push_back("which server the tag names: no line has its name");
    return;
  }
  // The last line of each host, and the first one of the refusing host after
  // the packet. A host that starts knows nothing of before.
  std::map<std::string, const LogLine *> lastByHost;
  const LogLine *learned = nullptr;
  for (const auto &it : Archive.lines()) {
    if (it.TimeMs > Line.TimeMs) {
      if (learned == nullptr && it.Host == Line.Host &&
          it.text("server") == Server)
        learned = &it;
      continue;
    }
    if (it.Event == "start")
      lastByHost.erase(it.Host);
    else if (it.text("server") == Server)
      lastByHost[it.Host] = &it;
  }
  lastByHost.erase(Line.Host);
  std::vector<std::string> hosts;
  hosts.reserve(lastByHost.size());
  for (const auto &[host, last] : lastByHost)
    hosts.push_back(absl::StrCat(
        host, " (", last->text("state") == "lapsed" ? "as lapsed, " : "",
        "line ", last->Event, " ", before(last->TimeMs), ")"));
  Causes.push_back(
      hosts.empty()
          ? absl::StrCat("the tag names ", Server,
                         ", which no line of another host names before that")
          : absl::StrCat("the tag names ", Server, ", which was known to ",
                         absl::StrJoin(hosts, ", ")));
  if (learned != nullptr)
    Causes.push_back(absl::StrCat(Line.Host, " knew ", Server, " ",
                                  learned->TimeMs - Line.TimeMs, " ms later"));
  explainAnswers(Line.TimeMs);
}

std::vector<OpenFlowRefusal::Answer> OpenFlowRefusal::answers() const {
  std::vector<Answer> list;
  const auto saw = [&](const std::string &host, std::int64_t timeMs) {
    list.push_back(
        {timeMs, absl::StrCat(host, " saw an answer of ", Server), true});
  };
  for (const auto &it : Archive.lines()) {
    if (it.text("server") != Server)
      continue;
    const auto answeredMs = it.TimeMs - it.number("age_ms");
    const bool isTold =
        (it.Event == "verdict" && it.text("verdict") == "answering") ||
        (it.Event == "verdict_ended" && it.text("ended_by") == "peer_answer");
    const auto witness = it.text("answer_seen_by");
    if (it.Event == "late" || it.Event == "cleared")
      saw(it.Host, it.TimeMs);
    else if (it.Event == "verdict_ended" && it.text("ended_by") == "answer")
      saw(it.Host, answeredMs);
    else if (isTold && !witness.empty())
      saw(hostAt(witness), answeredMs);
    else if (isTold)
      list.push_back(
          {answeredMs,
           absl::StrCat(it.Host, " was told of an answer of ", Server), false});
  }
  std::ranges::stable_sort(list, {}, &Answer::TimeMs);
  return list;
}

void OpenFlowRefusal::explainAnswers(std::int64_t silentSinceMs) {
  const auto refusal = IsReset ? "the reset" : "the packet was dropped";
  // An answer after a restart is one of another run of the server.
  auto untilMs = std::numeric_limits<std::int64_t>::max();
  for (const auto &it : Archive.lines())
    if (it.Event == "server" && it.text("server") == Server &&
        it.text("change") == "restarted" && it.TimeMs >= silentSinceMs)
      untilMs = std::min(untilMs, it.TimeMs);
  // The first answer, as told by a host that saw it if possible: several lines
  // tell of one answer.
  const auto isBetter = [](const Answer &it, const Answer *known) {
    return known == nullptr || (it.WasSeen && !known->WasSeen &&
                                it.TimeMs - known->TimeMs <= SameAnswerMs);
  };
  const Answer *during = nullptr;
  const Answer *after = nullptr;
  const auto all = answers();
  for (const auto &it : all) {
    if (it.TimeMs >= untilMs)
      continue;
    if (isBetter(it, during) && it.TimeMs > silentSinceMs &&
        it.TimeMs <= Line.TimeMs)
      during = &it;
    if (isBetter(it, after) && it.TimeMs >= Line.TimeMs + MinAnswerDelayMs)
      after = &it;
  }
  if (during != nullptr)
    Causes.push_back(absl::StrCat(
        during->Witness, " ", Line.TimeMs - during->TimeMs, " ms before ",
        refusal, ", after the first packet that counted as unanswered"));
  if (after != nullptr) {
    Causes.push_back(
        absl::StrCat(IsReset ? "the reset was wrong: the server was alive. "
                             : "the server was alive: ",
                     after->Witness, " ", after->TimeMs - Line.TimeMs,
                     " ms after ", refusal));
    return;
  }
  Unknowns.push_back(absl::StrCat(
      "whether ", Server, " was alive: no line tells of an answer after ",
      refusal,
      "; answers in time are logged only if they end a suspicion or "
      "a verdict"));
}

} // namespace auburnroute::tool
