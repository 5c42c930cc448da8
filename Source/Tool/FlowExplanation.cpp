#include "Tool/FlowExplanation.h"

#include "Tool/OpenFlowRefusal.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/time.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace auburnroute::tool {

namespace {

std::string formatTime(std::int64_t timeMs) {
  return absl::FormatTime("%H:%M:%E3S", absl::FromUnixMillis(timeMs),
                          absl::UTCTimeZone());
}

void appendUnique(std::vector<std::string> &list, std::string text) {
  if (!text.empty() && std::ranges::find(list, text) == list.end())
    list.push_back(std::move(text));
}

/// What ended the verdict of a line "verdict_ended".
std::string describeEnd(const LogLine &line) {
  const auto why = line.text("ended_by");
  if (why == "answer")
    return "this host saw an answer";
  if (why == "peer_answer")
    return absl::StrCat("another host saw an answer, as ", line.text("told_by"),
                        " told");
  if (why == "time")
    return "its time ran out";
  return "the server restarted or was removed";
}

/// Describes the event of a log line, without time and host; empty for events
/// that explanations leave out.
std::string describe(const LogLine &line) {
  const auto server = line.text("server");
  const auto reason = line.text("reason");
  if (line.Event == "placed")
    return absl::StrCat("SYN ", line.number("copy") + 1, " sent to ", server,
                        ", which had ", line.number("busy"), " requests and ",
                        line.number("open"),
                        " flows of this host; its registry view, at revision ",
                        line.number("revision"), ", was ",
                        line.number("view_age_ms"), " ms old");
  if (line.Event == "refused")
    return absl::StrCat(line.flag("reset") ? "answered with a TCP reset"
                                           : "packet dropped",
                        ", cause ", line.text("cause"),
                        reason.empty() ? "" : absl::StrCat(" (", reason, ")"));
  if (line.Event == "suspected")
    return absl::StrCat("no response from ", server, " for ",
                        line.number("silent_ms"), " ms (", line.text("cause"),
                        "); new flows avoid it");
  if (line.Event == "late")
    return absl::StrCat(server, " responded after ", line.number("answer_ms"),
                        " ms; the objective is ", line.number("objective_ms"),
                        " ms");
  if (line.Event == "cleared")
    return absl::StrCat(server, " responds again");
  if (line.Event == "verdict")
    return absl::StrCat("the hosts of the zone consider ", server, " ",
                        line.text("verdict"), " (decided by ",
                        line.text("decided_by"), ", ", line.number("age_ms"),
                        " ms after the first unanswered packet or the answer)");
  if (line.Event == "verdict_ended")
    return absl::StrCat("the verdict that ", server, " is ",
                        line.text("verdict"), " ended after ",
                        line.number("stood_ms"), " ms: ", describeEnd(line));
  if (line.Event == "server")
    return absl::StrCat(server, " of service ", line.text("service"), " is ",
                        line.text("state"), " (", line.text("change"), ")");
  if (line.Event == "pause")
    return absl::StrCat("the daemon did not run for ", line.number("gap_ms"),
                        " ms");
  if (line.Event == "start")
    return "the daemon started";
  if (line.Event == "stop")
    return "the daemon stops";
  if (line.Event == "configuration")
    return absl::StrCat("configuration ", line.number("version"), " is active");
  if (line.Event == "registry_era")
    return line.text("phase") == "entered"
               ? absl::StrCat("the registry was restored from a backup: era ",
                              line.number("from"), " ended at revision ",
                              line.number("revision_before"), ", era ",
                              line.number("to"), " is at revision ",
                              line.number("revision"))
               : absl::StrCat("the restored registry is complete again; ",
                              line.number("lapsed"),
                              " servers were not registered again");
  if (line.Event == "registry")
    return line.flag("reachable")
               ? "the registry responds"
               : absl::StrCat("the registry does not respond: ",
                              line.text("reason"));
  return {};
}

} // namespace

FlowExplanation FlowExplanation::of(const std::string &flow,
                                    LogArchive &archive) {
  FlowExplanation explanation;
  explanation.Flow = flow;
  explanation.readFlowLines(archive);
  if (explanation.IsFound) {
    explanation.addOpenFlowRefusals(archive);
    explanation.addOutdatedConfiguration(archive);
    explanation.addRelatedEvents(archive);
  }
  explanation.addUnknowns(archive);
  return explanation;
}

void FlowExplanation::readFlowLines(LogArchive &archive) {
  for (const auto &line : archive.lines()) {
    if (line.text("flow") != Flow)
      continue;
    if (!IsFound)
      FirstLineMs = line.TimeMs;
    IsFound = true;
    LastLineMs = line.TimeMs;
    appendUnique(Hosts, line.Host);
    appendUnique(Servers, line.text("server"));
    const auto server = line.text("server");
    if (line.Event == "refused")
      addRefusalCause(line);
    else if (line.Event == "placed" && line.number("copy") > 0)
      appendUnique(Causes, "the server chosen first did not answer the SYN "
                           "within 200 ms, so the caller sent a copy");
    else if (line.Event == "suspected")
      appendUnique(Causes,
                   absl::StrCat("server ", server,
                                " did not respond to a packet in time"));
    else if (line.Event == "late")
      appendUnique(Causes,
                   absl::StrCat("server ", server, " took ",
                                line.number("answer_ms"), " ms with ",
                                line.number("busy"),
                                " other requests of this host in progress"));
  }
}

void FlowExplanation::addRefusalCause(const LogLine &line) {
  const auto cause = line.text("cause");
  if (cause == "no_route")
    appendUnique(Causes,
                 "no route of the active configuration has the address");
  else if (cause == "route_removed")
    appendUnique(Causes,
                 "a configuration change removed the route of the open flow");
  else if (cause == "no_server")
    appendUnique(Causes, "no server of the service was registered and ready");
  else if (cause == "server_gone")
    appendUnique(Causes,
                 "the server of the open flow was taken to have ended; whether "
                 "it processed the request is unknown");
  else if (cause == "unknown_route")
    appendUnique(Causes, "the host never had the route of the open flow");
  else if (cause == "unknown_server")
    appendUnique(Causes,
                 "the flow belongs to a server that the host did not know");
  else if (cause == "no_configuration")
    appendUnique(Causes, "the host had no configuration yet");
  else
    appendUnique(Causes, absl::StrCat("refused: ", cause));
}

void FlowExplanation::addOpenFlowRefusals(LogArchive &archive) {
  struct Refusal {
    const LogLine *First = nullptr;
    std::size_t Count = 0;
  };
  std::map<std::tuple<std::string, std::string, std::string, bool>, Refusal>
      refusals;
  for (const auto &line : archive.lines())
    if (line.text("flow") == Flow && OpenFlowRefusal::isExplained(line)) {
      auto &it = refusals[{line.Host, line.text("cause"), line.text("reason"),
                           line.flag("reset")}];
      if (it.Count++ == 0)
        it.First = &line;
    }
  std::vector<Refusal> inOrder;
  inOrder.reserve(refusals.size());
  for (const auto &[key, it] : refusals)
    inOrder.push_back(it);
  std::ranges::sort(inOrder, {},
                    [](const Refusal &it) { return it.First->TimeMs; });
  for (const auto &it : inOrder) {
    const OpenFlowRefusal refusal(*it.First, it.Count, archive);
    appendUnique(Servers, refusal.server());
    for (const auto &cause : refusal.causes())
      appendUnique(Causes, cause);
    for (const auto &unknown : refusal.unknowns())
      appendUnique(Unknowns, unknown);
  }
}

void FlowExplanation::addOutdatedConfiguration(LogArchive &archive) {
  std::map<std::string, std::int64_t> versionByHost;
  const LogLine *newest = nullptr;
  for (const auto &line : archive.lines()) {
    if (line.Event == "start")
      versionByHost.erase(line.Host);
    if (line.Event == "configuration") {
      versionByHost[line.Host] = line.number("version");
      if (newest == nullptr ||
          line.number("version") > newest->number("version"))
        newest = &line;
    }
    const auto it = versionByHost.find(line.Host);
    if (line.text("flow") == Flow && newest != nullptr &&
        it != versionByHost.end() && it->second < newest->number("version"))
      appendUnique(Causes, absl::StrCat(line.Host, " decided by configuration ",
                                        it->second, " while ", newest->Host,
                                        " had ", newest->number("version"),
                                        " since ", formatTime(newest->TimeMs)));
  }
}

void FlowExplanation::addRelatedEvents(LogArchive &archive) {
  const auto contains = [](const auto &list, const std::string &name) {
    return std::ranges::find(list, name) != list.end();
  };
  for (const auto &line : archive.lines()) {
    if (line.TimeMs < FirstLineMs - ContextMs ||
        line.TimeMs > LastLineMs + ContextMs)
      continue;
    const bool isOfFlow = line.text("flow") == Flow;
    const bool isOfServer =
        contains(Servers, line.text("server")) &&
        (line.Event == "server" || line.Event == "cleared" ||
         line.Event == "suspected" || line.Event == "verdict" ||
         line.Event == "verdict_ended");
    const bool isOfHost =
        contains(Hosts, line.Host) &&
        (line.Event == "pause" || line.Event == "start" ||
         line.Event == "stop" || line.Event == "registry" ||
         line.Event == "registry_era" || line.Event == "configuration");
    const auto description = describe(line);
    if ((!isOfFlow && !isOfServer && !isOfHost) || description.empty())
      continue;
    Steps.push_back(absl::StrFormat("%s %s%s: %s", formatTime(line.TimeMs),
                                    isOfFlow ? "* " : "  ", line.Host,
                                    description));
    if (isOfServer && line.Event == "server" && line.text("state") != "ready")
      appendUnique(Causes,
                   absl::StrCat("server ", line.text("server"), " was ",
                                line.text("state"), " at about that time"));
    if (isOfHost && line.Event == "pause")
      appendUnique(Causes, absl::StrCat("the daemon of host ", line.Host,
                                        " did not run for ",
                                        line.number("gap_ms"), " ms"));
  }
}

void FlowExplanation::addUnknowns(LogArchive &archive) {
  std::int64_t dropped = 0;
  for (const auto &line : archive.lines())
    if (line.Event == "log_dropped" &&
        (!IsFound || (line.TimeMs >= FirstLineMs - ContextMs &&
                      line.TimeMs <= LastLineMs + ContextMs)))
      dropped += line.number("lines");
  if (!IsFound)
    Unknowns.push_back("no line names the flow: its packets reached none of "
                       "these hosts, or the lines were left out");
  if (dropped > 0)
    Unknowns.push_back(absl::StrCat(dropped, " lines were left out by the rate "
                                             "limit of the logs"));
  if (archive.unparsedLines() > 0)
    Unknowns.push_back(
        absl::StrCat(archive.unparsedLines(), " lines could not be read"));
  Unknowns.push_back("responses bypass the hosts, so a lost response cannot be "
                     "told from a server that did not respond");
}

std::string FlowExplanation::text() const {
  std::string text = absl::StrCat("Flow ", Flow, "\n");
  const auto section = [&](const char *title,
                           const std::vector<std::string> &list,
                           const char *bullet) {
    if (list.empty())
      return;
    absl::StrAppend(&text, "\n", title, "\n");
    for (const auto &it : list)
      absl::StrAppend(&text, bullet, it, "\n");
  };
  section("What the hosts did (* on this flow):", Steps, "  ");
  section("Causes that the logs show:", Causes, "  - ");
  if (IsFound && Causes.empty())
    absl::StrAppend(&text, "\nThe logs show nothing unusual.\n");
  section("What the logs cannot show:", Unknowns, "  - ");
  return text;
}

nlohmann::json FlowExplanation::json() const {
  return {{"flow", Flow},       {"found", IsFound}, {"hosts", Hosts},
          {"servers", Servers}, {"steps", Steps},   {"causes", Causes},
          {"unknown", Unknowns}};
}

} // namespace auburnroute::tool
