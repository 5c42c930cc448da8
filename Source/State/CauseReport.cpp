#include "State/CauseReport.h"

#include "Common/Text.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <ctime>

namespace auburnroute::state {

namespace {

struct OutcomeText {
  state::Cause Cause;
  const char *Text; ///< What happened to the flows.
};

constexpr OutcomeText OutcomeTexts[] = {
    {Cause::MissingTimestamps,
     "refused, not run: the client does not offer TCP timestamps"},
    {Cause::NoBackendServer, "refused, not run: no usable backend server"},
    {Cause::QueueFull, "refused, not run: too many waited for a free slot"},
    {Cause::QueueTimeout,
     "refused, not run: no slot became free within the queue timeout"},
    {Cause::ConnectionLimit,
     "refused, not run: all backend servers were at their connection limit"},
    {Cause::NoRoute, "refused, not run: no route has the address"},
    {Cause::RouteRemoved,
     "cut because a configuration dropped their route, outcome unknown"},
    {Cause::UnknownServer,
     "cut because their backend server had ended, outcome unknown"},
    {Cause::SynUnanswered, "delayed: a SYN got no answer and was repeated"},
    {Cause::AnsweredLate, "answered later than the objective of their route"},
    {Cause::BackendServerRefused, "refused by the backend server, not run"},
    {Cause::BackendServerReset, "reset by the backend server, outcome unknown"},
    {Cause::BackendServerDown,
     "cut because the backend server stopped answering, outcome unknown"},
    {Cause::Unconfirmed,
     "delayed: the host was not up to date and placed no new flow"},
};

struct TriggerText {
  state::Cause Cause;
  const char *Text; ///< Follows the subject.
};

constexpr TriggerText TriggerTexts[] = {
    {Cause::BackendServerDown, "stopped answering"},
    {Cause::BackendServerSilent, "did not answer in time"},
    {Cause::BackendServerLapsed, "left the registry without notice"},
    {Cause::BackendServerEjected, "was ejected after failures"},
    {Cause::BackendServerDraining, "was drained"},
    {Cause::BackendServerMoved, "reported that it serves another service"},
    {Cause::HostStarted, "started"},
    {Cause::HostDead, "died"},
    {Cause::HostPaused, "was paused"},
    {Cause::HostLeaving, "was stopped gracefully"},
    {Cause::StopTimeout,
     "reached the limit of its graceful stop with packets still arriving"},
    {Cause::PlatformUnreachable, "could not reach the platform"},
    {Cause::PlatformRestored, "found the platform restored from a backup"},
    {Cause::SettingsApplied, "was put in force"},
    {Cause::SettingsRefused, "was refused"},
};

const char *outcomeText(Cause why) {
  const auto *it =
      std::find_if(std::begin(OutcomeTexts), std::end(OutcomeTexts),
                   [&](const auto &text) { return text.Cause == why; });
  return it == std::end(OutcomeTexts) ? nullptr : it->Text;
}

const char *triggerText(Cause why) {
  const auto *it =
      std::find_if(std::begin(TriggerTexts), std::end(TriggerTexts),
                   [&](const auto &text) { return text.Cause == why; });
  return it == std::end(TriggerTexts) ? nullptr : it->Text;
}

/// Whether the trigger concerns the outcome's subject: an outcome at one
/// backend server or host is not explained by another one's failure.
bool concerns(const CauseEntry &trigger, const Finding &finding) {
  const bool sameService =
      trigger.Key.Service.empty() || trigger.Key.Service == finding.Service;
  if (!sameService)
    return false;
  switch (finding.Cause) {
  case Cause::BackendServerRefused:
  case Cause::BackendServerReset:
  case Cause::BackendServerDown:
    return trigger.Key.Subject == finding.Subject &&
           !trigger.Key.Service.empty();
  case Cause::Unconfirmed:
    return trigger.Key.Subject == finding.Subject;
  default:
    return trigger.Key.Cause != Cause::SettingsRefused &&
           trigger.Key.Cause != Cause::PlatformUnreachable;
  }
}

std::string timeText(common::WallTime time) {
  const auto seconds = std::chrono::system_clock::to_time_t(
      std::chrono::time_point_cast<std::chrono::system_clock::duration>(time));
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::string text(16, '\0');
  text.resize(std::strftime(text.data(), text.size(), "%H:%M:%S", &parts));
  return text;
}

/// Entries by key, with copies of the same entry merged.
std::map<CauseKey, CauseEntry>
mergeCopies(const std::vector<CauseEntry> &entries) {
  std::map<CauseKey, CauseEntry> merged;
  for (const auto &it : entries) {
    auto [at, added] = merged.try_emplace(it.Key, it);
    if (added)
      continue;
    at->second.Count = std::max(at->second.Count, it.Count);
    at->second.First = std::min(at->second.First, it.First);
    at->second.Last = std::max(at->second.Last, it.Last);
  }
  return merged;
}

/// Adds a trigger unless another host reported the same.
void addTrigger(std::vector<Trigger> &triggers, const CauseEntry &entry) {
  const Trigger trigger{entry.Key.Cause, entry.Key.Subject, entry.Key.Revision,
                        entry.First};
  const auto same =
      std::find_if(triggers.begin(), triggers.end(), [&](const auto &it) {
        return it.Cause == trigger.Cause && it.Subject == trigger.Subject &&
               it.Revision == trigger.Revision;
      });
  if (same == triggers.end())
    triggers.push_back(trigger);
  else
    same->First = std::min(same->First, trigger.First);
}

void addTriggers(Finding &finding,
                 const std::map<CauseKey, CauseEntry> &entries) {
  for (const auto &[key, entry] : entries)
    if (isTrigger(key.Cause) && concerns(entry, finding) &&
        entry.First <= finding.Last &&
        entry.Last + TriggerWindow >= finding.First)
      addTrigger(finding.Triggers, entry);
  std::stable_sort(
      finding.Triggers.begin(), finding.Triggers.end(),
      [](const auto &a, const auto &b) { return a.First > b.First; });
}

} // namespace

bool isOutcome(Cause why) { return outcomeText(why) != nullptr; }

bool isTrigger(Cause why) { return triggerText(why) != nullptr; }

std::vector<Finding> findCauses(const std::vector<CauseEntry> &entries,
                                const std::string &service) {
  const auto merged = mergeCopies(entries);
  std::map<std::tuple<std::string, Cause, std::string>, Finding> findings;
  for (const auto &[key, entry] : merged) {
    if (!isOutcome(key.Cause) || (!service.empty() && key.Service != service))
      continue;
    auto [it, added] = findings.try_emplace(
        {key.Service, key.Cause, key.Subject}, Finding{key.Service,
                                                       key.Cause,
                                                       key.Subject,
                                                       0,
                                                       entry.First,
                                                       entry.Last,
                                                       {}});
    it->second.Count += entry.Count;
    it->second.First = std::min(it->second.First, entry.First);
    it->second.Last = std::max(it->second.Last, entry.Last);
  }
  std::vector<Finding> found;
  for (auto &[key, finding] : findings) {
    addTriggers(finding, merged);
    found.push_back(std::move(finding));
  }
  std::stable_sort(
      found.begin(), found.end(),
      [](const auto &a, const auto &b) { return a.First < b.First; });
  return found;
}

std::vector<Trigger> findTriggers(const std::vector<CauseEntry> &entries) {
  std::vector<Trigger> triggers;
  for (const auto &[key, entry] : mergeCopies(entries))
    if (isTrigger(key.Cause))
      addTrigger(triggers, entry);
  std::stable_sort(
      triggers.begin(), triggers.end(),
      [](const auto &a, const auto &b) { return a.First < b.First; });
  return triggers;
}

std::string describe(const Trigger &trigger) {
  const auto subject =
      trigger.Cause == Cause::SettingsApplied
          ? absl::StrCat("settings revision ", trigger.Revision)
          : trigger.Subject;
  return absl::StrCat(subject, " ", triggerText(trigger.Cause), " at ",
                      timeText(trigger.First));
}

std::string describe(const Finding &finding) {
  auto text = absl::StrCat(
      finding.Service.empty() ? "all services" : finding.Service, ": ",
      finding.Count, finding.Count == 1 ? " flow " : " flows ",
      outcomeText(finding.Cause),
      finding.Subject.empty() ? "" : absl::StrCat(" (", finding.Subject, ")"),
      ", ", timeText(finding.First), " to ", timeText(finding.Last), " UTC.");
  if (finding.Triggers.empty())
    return absl::StrCat(text, " Cause unknown: no change or failure that fits "
                              "was recorded.");
  absl::StrAppend(&text, " Before it: ");
  for (std::size_t i = 0; i < finding.Triggers.size(); ++i)
    absl::StrAppend(&text, i == 0 ? "" : "; ", describe(finding.Triggers[i]));
  return absl::StrCat(text, ".");
}

} // namespace auburnroute::state
