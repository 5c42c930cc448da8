#include "Coordination/Distribution/SettingsFollower.h"

#include "State/SettingsLoader.h"

#include <algorithm>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace auburnroute::distribution {

namespace {

using Json = nlohmann::json;

constexpr std::string_view DocumentName = "settings";

// Parses JSON with comments. On a syntax error, the type of the result is
// `discarded`, so that it is neither an object nor an array.
Json parse(std::string_view text) {
  return Json::parse(text, nullptr, /*allow_exceptions=*/false,
                     /*ignore_comments=*/true);
}

// Serializing and comparing JSON is recursive; deeper documents could exhaust
// the stack. Valid settings are nowhere near this depth.
constexpr std::size_t MaxNestingDepth = 500;

// Counts brackets before parsing. Those inside strings count as well; valid
// settings do not have that many.
bool exceedsMaxNesting(std::string_view text) {
  std::size_t depth = 0;
  for (const char character : text) {
    if (character == '[' || character == '{')
      ++depth;
    else if ((character == ']' || character == '}') && depth > 0)
      --depth;
    if (depth > MaxNestingDepth)
      return true;
  }
  return false;
}

// Whether a JSON patch has only the operations that SettingsHistory emits.
// Other operations, such as copy, could make a short patch expand to a document
// of unbounded size.
bool hasOnlyAllowedOperations(const Json &patch) {
  return patch.is_array() &&
         std::all_of(patch.begin(), patch.end(), [](const Json &operation) {
           if (!operation.is_object())
             return false;
           const auto name = operation.find("op");
           return name != operation.end() &&
                  (*name == "add" || *name == "remove" || *name == "replace");
         });
}

// Applies a JSON patch (RFC 6902). Returns false if it does not apply; \p
// document is then unspecified.
bool applyJsonPatch(Json &document, const Json &patch) {
  if (!hasOnlyAllowedOperations(patch))
    return false;
  try {
    document.patch_inplace(patch);
    return true;
  } catch (const Json::exception &) {
    return false;
  }
}

// The stamp of a document that failed validation. Its revision is 0 if the
// document has none that is an unsigned number. The digest of a text that is
// not a JSON object is the hash of the text itself.
messages::SettingsStamp uncheckedStamp(const Json &document,
                                       std::string_view text) {
  messages::SettingsStamp stamp;
  if (document.is_object()) {
    const auto revision = document.find("revision");
    if (revision != document.end() && revision->is_number_unsigned())
      stamp.Revision = revision->get<std::uint64_t>();
    const auto canonical =
        document.dump(-1, ' ', false, Json::error_handler_t::replace);
    stamp.Digest = XXH3_64bits(canonical.data(), canonical.size());
  } else {
    stamp.Digest = XXH3_64bits(text.data(), text.size());
  }
  return stamp;
}

bool isWholeDocument(const messages::SettingsReply &reply) {
  return reply.Base == messages::SettingsStamp{};
}

} // namespace

SettingsFollower::SettingsFollower(SettingsFollowerOptions options)
    : Options(options), History(options.HistoryBytes) {}

SettingsUpdateOutcome
SettingsFollower::onPlatformDocument(std::string_view text) {
  const auto hash = XXH3_64bits(text.data(), text.size());
  if (hash == LastRefusedHash)
    return SettingsUpdateOutcome::Refused;
  const auto outcome = validateAndApply(text, std::nullopt, nullptr);
  if (outcome == SettingsUpdateOutcome::Refused)
    LastRefusedHash = hash;
  return outcome;
}

std::optional<AddressedRequest>
SettingsFollower::onPeerSettings(common::TimePoint now, std::string_view peer,
                                 messages::SettingsStamp stamp) {
  const auto candidate = Candidates.find(peer);
  if (stamp <= StampInForce || isRefused(stamp)) {
    if (candidate != Candidates.end())
      Candidates.erase(candidate);
    return std::nullopt;
  }
  if (candidate != Candidates.end())
    candidate->second = stamp;
  else if (Candidates.size() < Options.MaxCandidates)
    Candidates.emplace(peer, stamp);
  if (Pending)
    return std::nullopt;
  return requestFromBestPeer(now);
}

std::optional<messages::SettingsReply>
SettingsFollower::onSettingsRequest(const messages::SettingsRequest &request) {
  if (SettingsInForce == nullptr || request.Base >= StampInForce)
    return std::nullopt;
  if (request.Base.Revision != 0) {
    auto delta = History.deltaFrom(request.Base);
    if (delta && delta->size() < DocumentText.size()) {
      ++Counters.DeltasSent;
      return messages::SettingsReply{StampInForce, request.Base,
                                     std::move(*delta)};
    }
  }
  ++Counters.DocumentsSent;
  return messages::SettingsReply{StampInForce, {}, DocumentText};
}

ReplyOutcome
SettingsFollower::onSettingsReply(common::TimePoint now, std::string_view peer,
                                  const messages::SettingsReply &reply) {
  if (Pending && Pending->Peer == peer)
    Pending.reset();
  if (reply.Stamp <= StampInForce) {
    ++Counters.NotNewer;
    return {SettingsUpdateOutcome::NotNewer, requestFromBestPeer(now)};
  }
  const auto outcome = applyReply(reply);
  if (outcome != SettingsUpdateOutcome::Mismatch)
    return {outcome, requestFromBestPeer(now)};
  ++Counters.Mismatches;
  // If a delta does not apply, the whole document is requested from the same
  // peer. A peer that sends a document whose stamp differs from the announced
  // one is faulty, so it is no longer a candidate.
  if (!isWholeDocument(reply) && !Pending)
    return {outcome, makeRequest(now, peer, {})};
  const auto candidate = Candidates.find(peer);
  if (candidate != Candidates.end())
    Candidates.erase(candidate);
  return {outcome, requestFromBestPeer(now)};
}

std::optional<AddressedRequest>
SettingsFollower::onTick(common::TimePoint now) {
  if (!Pending || now - Pending->SentAt < Options.RequestTimeout)
    return std::nullopt;
  ++Counters.Timeouts;
  // The peer is no longer a candidate until its next heartbeat.
  const auto unresponsivePeer = std::move(Pending->Peer);
  Pending.reset();
  Candidates.erase(unresponsivePeer);
  return requestFromBestPeer(now);
}

SettingsUpdateOutcome SettingsFollower::validateAndApply(
    std::string_view text, std::optional<messages::SettingsStamp> announced,
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
  if (stamp <= StampInForce) {
    ++Counters.NotNewer;
    return SettingsUpdateOutcome::NotNewer;
  }
  if (document == nullptr)
    document = std::make_shared<const Json>(parse(text));
  History.add(stamp, std::move(document));
  SettingsInForce =
      std::make_shared<const state::Settings>(*std::move(settings));
  StampInForce = stamp;
  DocumentText = text;
  std::erase_if(Candidates, [&](const auto &candidate) {
    return candidate.second <= StampInForce;
  });
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
      [&](const SettingsRefusal &refusal) { return refusal.Stamp == stamp; });
}

SettingsUpdateOutcome
SettingsFollower::applyReply(const messages::SettingsReply &reply) {
  if (isWholeDocument(reply))
    return validateAndApply(reply.Text, reply.Stamp, nullptr);
  if (reply.Base != StampInForce || History.latest() == nullptr ||
      exceedsMaxNesting(reply.Text))
    return SettingsUpdateOutcome::Mismatch;
  const auto delta = parse(reply.Text);
  auto document = *History.latest();
  // An object is a merge patch (RFC 7386), an array a JSON patch (RFC 6902).
  if (delta.is_object())
    document.merge_patch(delta);
  else if (!applyJsonPatch(document, delta))
    return SettingsUpdateOutcome::Mismatch;
  const auto text =
      document.dump(-1, ' ', false, Json::error_handler_t::replace);
  return validateAndApply(text, reply.Stamp,
                          std::make_shared<const Json>(std::move(document)));
}

std::optional<AddressedRequest>
SettingsFollower::requestFromBestPeer(common::TimePoint now) {
  if (Pending || Candidates.empty())
    return std::nullopt;
  const auto best = std::max_element(
      Candidates.begin(), Candidates.end(),
      [](const auto &a, const auto &b) { return a.second < b.second; });
  return makeRequest(now, best->first, StampInForce);
}

AddressedRequest SettingsFollower::makeRequest(common::TimePoint now,
                                               std::string_view peer,
                                               messages::SettingsStamp base) {
  ++Counters.Requests;
  Pending = PendingRequest{std::string(peer), now};
  return {std::string(peer), {base}};
}

} // namespace auburnroute::distribution
