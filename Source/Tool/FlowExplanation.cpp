#include "Tool/FlowExplanation.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/time.h"

#include <algorithm>

namespace auburnroute::tool {

namespace {

std::string clockOf(std::int64_t timeMs) {
  return absl::FormatTime("%H:%M:%E3S", absl::FromUnixMillis(timeMs),
                          absl::UTCTimeZone());
}

void addOnce(std::vector<std::string> &list, std::string text) {
  if (!text.empty() && std::ranges::find(list, text) == list.end())
    list.push_back(std::move(text));
}

/// What a line says, without time and host; empty for other events.
std::string sentenceOf(const LogLine &line) {
  const auto server = line.text("server");
  if (line.Event == "placed")
    return absl::StrCat(
        "SYN ", line.number("copy") + 1, " sent to ", server, ", which had ",
        line.number("busy"), " requests and ", line.number("open"),
        " flows of this host; its view of revision ", line.number("revision"),
        " was ", line.number("view_age_ms"), " ms old");
  if (line.Event == "refused")
    return absl::StrCat(line.Fields.value("reset", false)
                            ? "answered by a reset"
                            : "packet dropped",
                        ", cause ", line.text("cause"));
  if (line.Event == "suspected")
    return absl::StrCat("no answer of ", server, " for ",
                        line.number("silent_ms"), " ms (", line.text("cause"),
                        "); new flows avoid it");
  if (line.Event == "late")
    return absl::StrCat(server, " answered after ", line.number("answer_ms"),
                        " ms; the objective is ", line.number("objective_ms"),
                        " ms");
  if (line.Event == "cleared")
    return absl::StrCat(server, " answers again");
  if (line.Event == "server")
    return absl::StrCat(server, " of service ", line.text("service"), " is ",
                        line.text("state"), " (", line.text("change"), ")");
  if (line.Event == "pause")
    return absl::StrCat("the host stood still for ", line.number("gap_ms"),
                        " ms");
  if (line.Event == "start")
    return "the daemon started";
  if (line.Event == "stop")
    return "the daemon stops";
  if (line.Event == "configuration")
    return absl::StrCat("configuration ", line.number("version"),
                        " is in force");
  if (line.Event == "registry")
    return line.Fields.value("reachable", false)
               ? "the registry answers"
               : absl::StrCat("the registry does not answer: ",
                              line.text("reason"));
  return {};
}

} // namespace

FlowExplanation FlowExplanation::of(const std::string &flow,
                                    LogArchive &archive) {
  FlowExplanation it;
  it.Flow = flow;
  it.addSteps(archive);
  if (it.Found)
    it.addSurroundings(archive);
  it.conclude(archive);
  return it;
}

void FlowExplanation::addSteps(LogArchive &archive) {
  for (const auto &line : archive.lines()) {
    if (line.text("flow") != Flow)
      continue;
    if (!Found)
      FirstMs = line.TimeMs;
    Found = true;
    LastMs = line.TimeMs;
    addOnce(Hosts, line.Host);
    addOnce(Servers, line.text("server"));
    const auto server = line.text("server");
    if (line.Event == "refused")
      explainRefusal(line);
    else if (line.Event == "placed" && line.number("copy") > 0)
      addOnce(Causes, "the first choice of a server did not answer the SYN "
                      "within 200 ms, so the caller sent a copy");
    else if (line.Event == "suspected")
      addOnce(Causes, absl::StrCat("server ", server,
                                   " did not answer a packet in time"));
    else if (line.Event == "late")
      addOnce(Causes, absl::StrCat("server ", server, " took ",
                                   line.number("answer_ms"), " ms with ",
                                   line.number("busy"),
                                   " other requests of this host under way"));
  }
}

void FlowExplanation::explainRefusal(const LogLine &line) {
  const auto cause = line.text("cause");
  if (cause == "no_route")
    addOnce(Causes, "no route of the configuration in force has the address");
  else if (cause == "route_removed")
    addOnce(Causes, "a configuration dropped the route of the open flow");
  else if (cause == "no_server")
    addOnce(Causes, "no server of the service was registered and ready");
  else if (cause == "server_gone")
    addOnce(Causes, "the server of the open flow had ended or could not be "
                    "reached; whether it ran the request is not known");
  else if (cause == "unknown_server")
    addOnce(Causes, "the flow belongs to a server that is not registered");
  else if (cause == "no_configuration")
    addOnce(Causes, "the host had no configuration yet");
  else
    addOnce(Causes, absl::StrCat("refused: ", cause));
}

void FlowExplanation::addSurroundings(LogArchive &archive) {
  const auto contains = [](const auto &list, const std::string &name) {
    return std::ranges::find(list, name) != list.end();
  };
  for (const auto &line : archive.lines()) {
    if (line.TimeMs < FirstMs - MarginMs || line.TimeMs > LastMs + MarginMs)
      continue;
    const bool ofFlow = line.text("flow") == Flow;
    const bool ofServer = contains(Servers, line.text("server")) &&
                          (line.Event == "server" || line.Event == "cleared" ||
                           line.Event == "suspected");
    const bool ofHost = contains(Hosts, line.Host) &&
                        (line.Event == "pause" || line.Event == "start" ||
                         line.Event == "stop" || line.Event == "registry" ||
                         line.Event == "configuration");
    const auto sentence = sentenceOf(line);
    if ((!ofFlow && !ofServer && !ofHost) || sentence.empty())
      continue;
    Steps.push_back(absl::StrFormat("%s %s%s: %s", clockOf(line.TimeMs),
                                    ofFlow ? "* " : "  ", line.Host, sentence));
    if (ofServer && line.Event == "server" && line.text("state") != "ready")
      addOnce(Causes, absl::StrCat("server ", line.text("server"), " was ",
                                   line.text("state"), " at about that time"));
    if (ofHost && line.Event == "pause")
      addOnce(Causes, absl::StrCat("host ", line.Host, " stood still for ",
                                   line.number("gap_ms"), " ms"));
  }
}

void FlowExplanation::conclude(LogArchive &archive) {
  std::int64_t dropped = 0;
  for (const auto &line : archive.lines())
    if (line.Event == "log_dropped" &&
        (!Found || (line.TimeMs >= FirstMs - MarginMs &&
                    line.TimeMs <= LastMs + MarginMs)))
      dropped += line.number("lines");
  if (!Found)
    Unknown.push_back("no line names the flow: its packets reached none of "
                      "these hosts, or the lines were left out");
  if (dropped > 0)
    Unknown.push_back(absl::StrCat(dropped, " lines were left out by the rate "
                                            "limit of the logs"));
  if (archive.unreadable() > 0)
    Unknown.push_back(
        absl::StrCat(archive.unreadable(), " lines could not be read"));
  Unknown.push_back("packets from the server to the caller do not pass the "
                    "hosts, so a lost answer looks like a silent server");
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
  if (Found && Causes.empty())
    absl::StrAppend(&text, "\nThe logs show nothing unusual.\n");
  section("What they cannot tell:", Unknown, "  - ");
  return text;
}

nlohmann::json FlowExplanation::json() const {
  return {{"flow", Flow},       {"found", Found}, {"hosts", Hosts},
          {"servers", Servers}, {"steps", Steps}, {"causes", Causes},
          {"unknown", Unknown}};
}

} // namespace auburnroute::tool
