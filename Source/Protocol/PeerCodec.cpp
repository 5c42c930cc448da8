#include "Protocol/PeerCodec.h"

#include "Common/EpochTime.h"

#include "absl/strings/str_cat.h"

#include <Peer.pb.h>

#include <algorithm>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <optional>

namespace auburnroute::protocol {

using namespace messages;

namespace {

constexpr std::uint64_t MaxEndpointKey = (std::uint64_t{1} << 48) - 1;

// Incarnations are start times in milliseconds, which stay far below this. A
// host that sees a higher incarnation under its own name takes the next one,
// which must not overflow.
constexpr std::uint64_t MaxIncarnation = std::uint64_t{1} << 48;

constexpr std::uint64_t MaxWallMs = common::MaxEpochMilliseconds;

// Result of the read functions; empty on success.
using ReadError = std::optional<PeerRefusalReason>;

void write(const state::HostAddresses &from, wire::Addresses &to) {
  to.set_packets(from.Packets.key());
  to.set_admission(from.Admission.key());
  to.set_peer(from.Peer.key());
  to.set_operator_(from.Operator.key());
}

ReadError readEndpoint(std::uint64_t key, common::Endpoint &to) {
  if (key > MaxEndpointKey)
    return PeerRefusalReason::Malformed;
  to = {static_cast<std::uint32_t>(key >> 16),
        static_cast<std::uint16_t>(key & 0xFFFF)};
  return std::nullopt;
}

ReadError read(const wire::Addresses &from, state::HostAddresses &to) {
  for (const auto &[key, endpoint] :
       {std::pair{from.packets(), &to.Packets},
        std::pair{from.admission(), &to.Admission},
        std::pair{from.peer(), &to.Peer},
        std::pair{from.operator_(), &to.Operator}})
    if (const auto reason = readEndpoint(key, *endpoint))
      return reason;
  return std::nullopt;
}

bool isValidName(std::string_view name) {
  return !name.empty() && name.size() <= PeerCodec::MaxNameBytes;
}

ReadError readState(std::uint32_t from, state::HostState &to) {
  if (from >= state::HostStateCount)
    return PeerRefusalReason::Malformed;
  to = static_cast<state::HostState>(from);
  return std::nullopt;
}

void write(const HostUpdate &from, wire::HostUpdate &to) {
  to.set_host(from.Host);
  to.set_incarnation(from.Incarnation);
  to.set_sequence(from.Sequence);
  to.set_state(static_cast<std::uint32_t>(from.State));
  to.set_leaving(from.IsLeaving);
  write(from.Addresses, *to.mutable_addresses());
}

ReadError read(const wire::HostUpdate &from, HostUpdate &to) {
  if (!isValidName(from.host()) || from.incarnation() > MaxIncarnation)
    return PeerRefusalReason::Malformed;
  to.Host = from.host();
  to.Incarnation = from.incarnation();
  to.Sequence = from.sequence();
  to.IsLeaving = from.leaving();
  if (const auto reason = readState(from.state(), to.State))
    return reason;
  return read(from.addresses(), to.Addresses);
}

bool write(const Heartbeat &from, wire::Envelope &envelope) {
  auto &to = *envelope.mutable_heartbeat();
  to.set_state(static_cast<std::uint32_t>(from.State));
  to.set_revision(from.Settings.Revision);
  to.set_digest(from.Settings.Digest);
  to.set_echo_incarnation(from.EchoIncarnation);
  to.set_echo_sequence(from.EchoSequence);
  to.set_view_digest(from.ViewDigest);
  to.set_answer(from.IsAnswer);
  to.set_probe(from.IsProbe);
  if (from.Intro) {
    to.mutable_introduction()->set_zone(from.Intro->Zone);
    write(from.Intro->Addresses,
          *to.mutable_introduction()->mutable_addresses());
  }
  for (const auto &it : from.Updates)
    write(it, *to.add_updates());
  return to.updates_size() <= PeerCodec::MaxUpdates;
}

ReadError read(const wire::Heartbeat &from, Heartbeat &to) {
  if (from.updates_size() > PeerCodec::MaxUpdates)
    return PeerRefusalReason::Oversized;
  if (const auto reason = readState(from.state(), to.State))
    return reason;
  to.Settings = {from.revision(), from.digest()};
  to.EchoIncarnation = from.echo_incarnation();
  to.EchoSequence = from.echo_sequence();
  to.ViewDigest = from.view_digest();
  to.IsAnswer = from.answer();
  to.IsProbe = from.probe();
  if (from.has_introduction()) {
    if (!isValidName(from.introduction().zone()))
      return PeerRefusalReason::Malformed;
    to.Intro.emplace().Zone = from.introduction().zone();
    if (const auto reason =
            read(from.introduction().addresses(), to.Intro->Addresses))
      return reason;
  }
  for (const auto &it : from.updates())
    if (const auto reason = read(it, to.Updates.emplace_back()))
      return reason;
  return std::nullopt;
}

bool write(const SettingsRequest &from, wire::Envelope &envelope) {
  auto &to = *envelope.mutable_settings_request();
  to.set_revision(from.Base.Revision);
  to.set_digest(from.Base.Digest);
  return true;
}

bool write(const SettingsReply &from, wire::Envelope &envelope) {
  auto &to = *envelope.mutable_settings_reply();
  to.set_revision(from.Stamp.Revision);
  to.set_digest(from.Stamp.Digest);
  to.set_base_revision(from.Base.Revision);
  to.set_base_digest(from.Base.Digest);
  to.set_text(from.Text);
  return true;
}

std::uint64_t toMilliseconds(common::WallTime time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          time.time_since_epoch())
          .count());
}

common::WallTime toWallTime(std::uint64_t milliseconds) {
  return common::WallTime(std::chrono::milliseconds(milliseconds));
}

bool write(const CauseBatch &from, wire::Envelope &envelope) {
  auto &to = *envelope.mutable_cause_batch();
  for (const auto &it : from.Entries) {
    auto &entry = *to.add_entries();
    entry.set_origin(it.Key.Origin);
    entry.set_incarnation(it.Key.Incarnation);
    entry.set_minute(it.Key.Minute);
    entry.set_cause(static_cast<std::uint32_t>(it.Key.Cause));
    entry.set_service(it.Key.Service);
    entry.set_revision(it.Key.Revision);
    entry.set_subject(it.Key.Subject);
    entry.set_count(it.Count);
    entry.set_first_ms(toMilliseconds(it.First));
    entry.set_last_ms(toMilliseconds(it.Last));
  }
  return to.entries_size() <= PeerCodec::MaxCauseEntries;
}

bool isValidEntry(const wire::CauseEntry &entry) {
  return entry.cause() < static_cast<std::uint32_t>(state::Cause::Count) &&
         isValidName(entry.origin()) &&
         entry.service().size() <= PeerCodec::MaxNameBytes &&
         entry.subject().size() <= PeerCodec::MaxNameBytes &&
         entry.first_ms() <= MaxWallMs && entry.last_ms() <= MaxWallMs;
}

ReadError read(const wire::CauseBatch &from, CauseBatch &to) {
  if (from.entries_size() > PeerCodec::MaxCauseEntries)
    return PeerRefusalReason::Oversized;
  for (const auto &it : from.entries()) {
    if (!isValidEntry(it))
      return PeerRefusalReason::Malformed;
    to.Entries.push_back({{it.origin(), it.incarnation(), it.minute(),
                           static_cast<state::Cause>(it.cause()), it.service(),
                           it.revision(), it.subject()},
                          it.count(),
                          toWallTime(it.first_ms()),
                          toWallTime(it.last_ms())});
  }
  return std::nullopt;
}

ReadError readBody(const wire::Envelope &from, PeerBody &to) {
  switch (from.body_case()) {
  case wire::Envelope::kHeartbeat:
    return read(from.heartbeat(), to.emplace<Heartbeat>());
  case wire::Envelope::kSettingsRequest:
    to = SettingsRequest{
        {from.settings_request().revision(), from.settings_request().digest()}};
    return std::nullopt;
  case wire::Envelope::kSettingsReply: {
    const auto &it = from.settings_reply();
    to = SettingsReply{{it.revision(), it.digest()},
                       {it.base_revision(), it.base_digest()},
                       it.text()};
    return std::nullopt;
  }
  case wire::Envelope::kCauseBatch:
    return read(from.cause_batch(), to.emplace<CauseBatch>());
  case wire::Envelope::BODY_NOT_SET:
    break;
  }
  return PeerRefusalReason::Malformed;
}

} // namespace

std::string_view toString(PeerRefusalReason refusal) {
  switch (refusal) {
  case PeerRefusalReason::WrongKey:
    return "wrong_key";
  case PeerRefusalReason::Malformed:
    return "malformed";
  case PeerRefusalReason::Oversized:
    return "oversized";
  case PeerRefusalReason::OldSequence:
    return "old_sequence";
  case PeerRefusalReason::UnknownSender:
    return "unknown_sender";
  case PeerRefusalReason::Count:
    break;
  }
  return "unknown";
}

PeerCodec::PeerCodec(std::string key) : Key(std::move(key)) {}

absl::StatusOr<std::string>
PeerCodec::encode(const PeerMessage &message) const {
  wire::Envelope envelope;
  envelope.set_sender(message.Sender);
  envelope.set_incarnation(message.Incarnation);
  envelope.set_message_sequence(message.Sequence);
  if (!std::visit([&](const auto &body) { return write(body, envelope); },
                  message.Body))
    return absl::ResourceExhaustedError(
        "peer message exceeds the limit of updates or "
        "cause entries");
  std::string frame(MacBytes, '\0');
  if (!envelope.AppendToString(&frame) || frame.size() > MaxFrameBytes)
    return absl::ResourceExhaustedError(
        absl::StrCat("peer message of ", frame.size(),
                     " bytes exceeds the limit of ", MaxFrameBytes));
  const auto mac = computeMac(std::string_view(frame).substr(MacBytes));
  std::copy(mac.begin(), mac.end(), frame.begin());
  return frame;
}

PeerCodec::DecodeResult PeerCodec::decode(std::string_view frame) {
  if (frame.size() > MaxFrameBytes)
    return refuse(PeerRefusalReason::Oversized);
  if (frame.size() <= MacBytes)
    return refuse(PeerRefusalReason::Malformed);
  const auto body = frame.substr(MacBytes);
  const auto mac = computeMac(body);
  if (CRYPTO_memcmp(mac.data(), frame.data(), MacBytes) != 0)
    return refuse(PeerRefusalReason::WrongKey);
  wire::Envelope envelope;
  if (!envelope.ParseFromArray(body.data(), static_cast<int>(body.size())) ||
      !isValidName(envelope.sender()) ||
      envelope.incarnation() > MaxIncarnation)
    return refuse(PeerRefusalReason::Malformed);
  PeerMessage message{envelope.sender(),
                      envelope.incarnation(),
                      envelope.message_sequence(),
                      {}};
  if (const auto reason = readBody(envelope, message.Body))
    return refuse(*reason);
  if (const auto reason = checkSender(message))
    return refuse(*reason);
  return message;
}

void PeerCodec::forgetSender(std::string_view sender) {
  Senders.erase(std::string(sender));
}

std::array<unsigned char, PeerCodec::MacBytes>
PeerCodec::computeMac(std::string_view envelope) const {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       reinterpret_cast<const unsigned char *>(envelope.data()),
       envelope.size(), digest.data(), &size);
  std::array<unsigned char, MacBytes> mac{};
  std::copy_n(digest.begin(), MacBytes, mac.begin());
  return mac;
}

PeerCodec::DecodeResult PeerCodec::refuse(PeerRefusalReason reason) {
  ++RefusedFrames[static_cast<std::size_t>(reason)];
  return reason;
}

std::optional<PeerRefusalReason>
PeerCodec::checkSender(const PeerMessage &message) {
  auto it = Senders.find(message.Sender);
  if (it == Senders.end()) {
    const auto *heartbeat = std::get_if<Heartbeat>(&message.Body);
    if (heartbeat == nullptr || !heartbeat->Intro ||
        Senders.size() >= MaxSenders)
      return PeerRefusalReason::UnknownSender;
    it = Senders.emplace(message.Sender, LastFrame{}).first;
  }
  auto &last = it->second;
  if (std::pair(message.Incarnation, message.Sequence) <=
      std::pair(last.Incarnation, last.Sequence))
    return PeerRefusalReason::OldSequence;
  last = {message.Incarnation, message.Sequence};
  return std::nullopt;
}

} // namespace auburnroute::protocol
