#include "Coordination/Distribution/SettingsFollower.h"

#include "State/SettingsLoader.h"

#include <algorithm>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace auburnroute::distribution {

namespace {

using Json = nlohmann::json;

constexpr std::string_view DocumentName = "settings";

// Parses without exceptions; returns a discarded value on a syntax error.
Json parse(std::string_view text) {
  return Json::parse(text, nullptr, false, true);
}

// Serializing and comparing JSON is recursive; deeper documents could exhaust
// the stack. Valid settings are nowhere near this depth.
constexpr std::size_t MaxNestingDepth = 500;

bool exceedsMaxNesting(std::string_view text) {
  std::size_t depth = 0;
  for (const char it : text) {
    if (it == '[' || it == '{')
      ++depth;
    else if ((it == ']' || it == '}') && depth > 0)
      --depth;
    if (depth > MaxNestingDepth)
      return true;
  }
  return false;
}

// Whether each step of a JSON patch is an operation that SettingsHistory emits.
// Others, such as copy, could make a short patch expand to a document of
// unbounded size.
bool hasOnlyAllowedSteps(const Json &patch) {
  return patch.is_array() &&
         std::all_of(patch.begin(), patch.end(), [](const Json &step) {
           if (!step.is_object())
             return false;
           const auto it = step.find("op");
           return it != step.end() &&
                  (*it == "add" || *it == "remove" || *it == "replace");
         });
}

// Applies a JSON patch. Returns false if it does not apply; \p document is then
// unspecified.
bool applyPatch(Json &document, const Json &patch) {
  if (!hasOnlyAllowedSteps(patch))
    return false;
  try {
    document.patch_inplace(patch);
    return true;
  } catch (const Json::exception &) {
    return false;
  }
}

// The stamp of a document that has not passed validation, as far as it can be
// read.
messages::SettingsStamp uncheckedStamp(const Json &document,
                                       std::string_view text) {
  messages::SettingsStamp stamp;
  if (document.is_object()) {
    const auto it = document.find("revision");
    if (it != document.end() && it->is_number_unsigned())
      stamp.Revision = it->get<std::uint64_t>();
    const auto canonical =
        document.dump(-1, ' ', false, Json::error_handler_t::replace);
    stamp.Digest = XXH3_64bits(canonical.data(), canonical.size());
  } else {
    stamp.Digest = XXH3_64bits(text.data(), text.size());
  }
  return stamp;
}

} // namespace

SettingsFollower::SettingsFollower(SettingsFollowerOptions options)
    : Options(options), History(options.HistoryBytes) {}

SettingsUpdateOutcome
SettingsFollower::onPlatformDocument(std::string_view text) {
  const auto hash = XXH3_64bits(text.data(), text.size());
  if (hash == LastRefusedHash)
    return SettingsUpdateOutcome::Refused;
  const auto outcome = accept(text, std::nullopt, nullptr);
  if (outcome == SettingsUpdateOutcome::Refused)
    LastRefusedHash = hash;
  return outcome;
}

std::optional<AddressedRequest>
SettingsFollower::onPeerSettings(common::TimePoint now, std::string_view peer,
                                 messages::SettingsStamp stamp) {
  const auto it = Candidates.find(peer);
  if (stamp <= Stamp || isRefused(stamp)) {
    if (it != Candidates.end())
      Candidates.erase(it);
    return std::nullopt;
  }
  if (it != Candidates.end())
    it->second = stamp;
  else if (Candidates.size() < Options.MaxCandidates)
    Candidates.emplace(peer, stamp);
  if (Pending)
    return std::nullopt;
  return requestFromBestPeer(now);
}

std::optional<messages::SettingsReply>
SettingsFollower::onSettingsRequest(const messages::SettingsRequest &request) {
  if (InForce == nullptr || request.Have >= Stamp)
    return std::nullopt;
  if (request.Have.Revision != 0) {
    auto patch = History.patchFrom(request.Have);
    if (patch && patch->size() < Text.size()) {
      ++Counters.DeltasSent;
      return messages::SettingsReply{Stamp, request.Have, std::move(*patch)};
    }
  }
  ++Counters.DocumentsSent;
  return messages::SettingsReply{Stamp, {}, Text};
}

ReplyOutcome
SettingsFollower::onSettingsReply(common::TimePoint now, std::string_view peer,
                                  const messages::SettingsReply &reply) {
  if (Pending && Pending->Peer == peer)
    Pending.reset();
  if (reply.Stamp <= Stamp) {
    ++Counters.NotNewer;
    return {SettingsUpdateOutcome::NotNewer, requestFromBestPeer(now)};
  }
  const auto outcome = acceptReply(reply);
  if (outcome != SettingsUpdateOutcome::Mismatch)
    return {outcome, requestFromBestPeer(now)};
  ++Counters.Mismatches;
  // If a delta does not apply, the whole document is requested. A document
  // whose stamp differs from the announced one comes from a faulty peer.
  if (reply.Base != messages::SettingsStamp{} && !Pending)
    return {outcome, makeRequest(now, peer, {})};
  const auto it = Candidates.find(peer);
  if (it != Candidates.end())
    Candidates.erase(it);
  return {outcome, requestFromBestPeer(now)};
}

std::optional<AddressedRequest>
SettingsFollower::onTick(common::TimePoint now) {
  if (!Pending || now - Pending->SentAt < Options.RequestTimeout)
    return std::nullopt;
  ++Counters.Timeouts;
  // The next heartbeat of the unresponsive peer makes it a candidate again.
  const auto silent = std::move(Pending->Peer);
  Pending.reset();
  Candidates.erase(silent);
  return requestFromBestPeer(now);
}

SettingsUpdateOutcome
SettingsFollower::accept(std::string_view text,
                         std::optional<messages::SettingsStamp> announced,
                         std::shared_ptr<const nlohmann::json> document) {
  if (text.size() > Options.MaxDocumentBytes)
    return refuse(announced.value_or(messages::SettingsStamp{}),
                  std::string(DocumentName) + ":1: document exceeds " +
                      std::to_string(Options.MaxDocumentBytes) + " bytes");
  if (exceedsMaxNesting(text))
    return refuse(announced.value_or(messages::SettingsStamp{}),
                  std::string(DocumentName) + ":1: document exceeds " +
                      std::to_string(MaxNestingDepth) + " levels of nesting");
  auto settings = state::loadSettings(text, DocumentName);
  if (!settings.ok()) {
    const auto stamp = uncheckedStamp(parse(text), text);
    if (announced && *announced != stamp)
      return SettingsUpdateOutcome::Mismatch;
    return refuse(stamp, std::string(settings.status().message()));
  }
  const messages::SettingsStamp stamp{settings->Revision, settings->Digest};
  if (announced && *announced != stamp)
    return SettingsUpdateOutcome::Mismatch;
  if (stamp <= Stamp) {
    ++Counters.NotNewer;
    return SettingsUpdateOutcome::NotNewer;
  }
  if (document == nullptr)
    document = std::make_shared<const Json>(parse(text));
  History.add(stamp, std::move(document));
  InForce = std::make_shared<const state::Settings>(*std::move(settings));
  Stamp = stamp;
  Text = text;
  std::erase_if(Candidates, [&](const auto &it) { return it.second <= Stamp; });
  ++Counters.Accepted;
  return SettingsUpdateOutcome::InForce;
}

SettingsUpdateOutcome SettingsFollower::refuse(messages::SettingsStamp stamp,
                                               std::string errors) {
  ++Counters.Refused;
  if (isRefused(stamp))
    return SettingsUpdateOutcome::Refused;
  if (Refusals.size() >= Options.MaxRefusals)
    Refusals.pop_front();
  Refusals.push_back({stamp, std::move(errors)});
  return SettingsUpdateOutcome::Refused;
}

bool SettingsFollower::isRefused(messages::SettingsStamp stamp) const {
  return std::any_of(
      Refusals.begin(), Refusals.end(),
      [&](const SettingsRefusal &it) { return it.Stamp == stamp; });
}

SettingsUpdateOutcome
SettingsFollower::acceptReply(const messages::SettingsReply &reply) {
  if (reply.Base == messages::SettingsStamp{})
    return accept(reply.Text, reply.Stamp, nullptr);
  if (reply.Base != Stamp || History.latest() == nullptr ||
      exceedsMaxNesting(reply.Text))
    return SettingsUpdateOutcome::Mismatch;
  const auto patch = parse(reply.Text);
  auto document = *History.latest();
  if (patch.is_object())
    document.merge_patch(patch);
  else if (!applyPatch(document, patch))
    return SettingsUpdateOutcome::Mismatch;
  const auto text =
      document.dump(-1, ' ', false, Json::error_handler_t::replace);
  return accept(text, reply.Stamp,
                std::make_shared<const Json>(std::move(document)));
}

std::optional<AddressedRequest>
SettingsFollower::requestFromBestPeer(common::TimePoint now) {
  if (Pending || Candidates.empty())
    return std::nullopt;
  const auto best = std::max_element(
      Candidates.begin(), Candidates.end(),
      [](const auto &a, const auto &b) { return a.second < b.second; });
  return makeRequest(now, best->first, Stamp);
}

AddressedRequest SettingsFollower::makeRequest(common::TimePoint now,
                                               std::string_view peer,
                                               messages::SettingsStamp have) {
  ++Counters.Requests;
  Pending = PendingRequest{std::string(peer), now};
  return {std::string(peer), {have}};
}

} // namespace auburnroute::distribution
