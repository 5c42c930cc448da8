#include "Protocol/PeerCodec.h"

#include "Common/Epoch.h"

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

// Far beyond any time in milliseconds. A host whose name comes with a higher
// incarnation goes beyond that one, which must not overflow.
constexpr std::uint64_t MaxIncarnation = std::uint64_t{1} << 48;

constexpr std::uint64_t MaxWallMs = common::MaxWallMilliseconds;

// Reading functions return nothing on success.
using Fault = std::optional<PeerRefusal>;

void write(const state::HostAddresses &from, wire::Addresses &to) {
  to.set_packets(from.Packets.key());
  to.set_admission(from.Admission.key());
  to.set_peer(from.Peer.key());
  to.set_operator_(from.Operator.key());
}

Fault readEndpoint(std::uint64_t key, common::Endpoint &to) {
  if (key > MaxEndpointKey)
    return PeerRefusal::Malformed;
  to = {static_cast<std::uint32_t>(key >> 16),
        static_cast<std::uint16_t>(key & 0xFFFF)};
  return std::nullopt;
}

Fault read(const wire::Addresses &from, state::HostAddresses &to) {
  for (const auto &[key, endpoint] :
       {std::pair{from.packets(), &to.Packets},
        std::pair{from.admission(), &to.Admission},
        std::pair{from.peer(), &to.Peer},
        std::pair{from.operator_(), &to.Operator}})
    if (const auto fault = readEndpoint(key, *endpoint))
      return fault;
  return std::nullopt;
}

bool validName(std::string_view name) {
  return !name.empty() && name.size() <= PeerCodec::MaxNameBytes;
}

Fault readState(std::uint32_t from, state::HostState &to) {
  if (from >= state::HostStateCount)
    return PeerRefusal::Malformed;
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

Fault read(const wire::HostUpdate &from, HostUpdate &to) {
  if (!validName(from.host()) || from.incarnation() > MaxIncarnation)
    return PeerRefusal::Malformed;
  to.Host = from.host();
  to.Incarnation = from.incarnation();
  to.Sequence = from.sequence();
  to.IsLeaving = from.leaving();
  if (const auto fault = readState(from.state(), to.State))
    return fault;
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

Fault read(const wire::Heartbeat &from, Heartbeat &to) {
  if (from.updates_size() > PeerCodec::MaxUpdates)
    return PeerRefusal::Oversized;
  if (const auto fault = readState(from.state(), to.State))
    return fault;
  to.Settings = {from.revision(), from.digest()};
  to.EchoIncarnation = from.echo_incarnation();
  to.EchoSequence = from.echo_sequence();
  to.ViewDigest = from.view_digest();
  to.IsAnswer = from.answer();
  to.IsProbe = from.probe();
  if (from.has_introduction()) {
    if (!validName(from.introduction().zone()))
      return PeerRefusal::Malformed;
    to.Intro.emplace().Zone = from.introduction().zone();
    if (const auto fault =
            read(from.introduction().addresses(), to.Intro->Addresses))
      return fault;
  }
  for (const auto &it : from.updates())
    if (const auto fault = read(it, to.Updates.emplace_back()))
      return fault;
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
    entry.set_cause(static_cast<std::uint32_t>(it.Key.Reason));
    entry.set_service(it.Key.Service);
    entry.set_revision(it.Key.Revision);
    entry.set_subject(it.Key.Subject);
    entry.set_count(it.Count);
    entry.set_first_ms(toMilliseconds(it.First));
    entry.set_last_ms(toMilliseconds(it.Last));
  }
  return to.entries_size() <= PeerCodec::MaxCauseEntries;
}

bool validEntry(const wire::CauseEntry &entry) {
  return entry.cause() < static_cast<std::uint32_t>(state::Cause::Count) &&
         validName(entry.origin()) &&
         entry.service().size() <= PeerCodec::MaxNameBytes &&
         entry.subject().size() <= PeerCodec::MaxNameBytes &&
         entry.first_ms() <= MaxWallMs && entry.last_ms() <= MaxWallMs;
}

Fault read(const wire::CauseBatch &from, CauseBatch &to) {
  if (from.entries_size() > PeerCodec::MaxCauseEntries)
    return PeerRefusal::Oversized;
  for (const auto &it : from.entries()) {
    if (!validEntry(it))
      return PeerRefusal::Malformed;
    to.Entries.push_back({{it.origin(), it.incarnation(), it.minute(),
                           static_cast<state::Cause>(it.cause()), it.service(),
                           it.revision(), it.subject()},
                          it.count(),
                          toWallTime(it.first_ms()),
                          toWallTime(it.last_ms())});
  }
  return std::nullopt;
}

Fault readBody(const wire::Envelope &from, PeerBody &to) {
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
  return PeerRefusal::Malformed;
}

} // namespace

std::string_view toString(PeerRefusal refusal) {
  switch (refusal) {
  case PeerRefusal::WrongKey:
    return "wrong_key";
  case PeerRefusal::Malformed:
    return "malformed";
  case PeerRefusal::Oversized:
    return "oversized";
  case PeerRefusal::OldSequence:
    return "old_sequence";
  case PeerRefusal::UnknownSender:
    return "unknown_sender";
  case PeerRefusal::Count:
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
    return absl::ResourceExhaustedError("too many entries in a peer message");
  std::string frame(MacBytes, '\0');
  if (!envelope.AppendToString(&frame) || frame.size() > MaxFrameBytes)
    return absl::ResourceExhaustedError("peer message exceeds the frame bound");
  const auto code = mac(std::string_view(frame).substr(MacBytes));
  std::copy(code.begin(), code.end(), frame.begin());
  return frame;
}

PeerCodec::Decoded PeerCodec::decode(std::string_view frame) {
  if (frame.size() > MaxFrameBytes)
    return refuse(PeerRefusal::Oversized);
  if (frame.size() <= MacBytes)
    return refuse(PeerRefusal::Malformed);
  const auto body = frame.substr(MacBytes);
  const auto code = mac(body);
  if (CRYPTO_memcmp(code.data(), frame.data(), MacBytes) != 0)
    return refuse(PeerRefusal::WrongKey);
  wire::Envelope envelope;
  if (!envelope.ParseFromArray(body.data(), static_cast<int>(body.size())) ||
      !validName(envelope.sender()) || envelope.incarnation() > MaxIncarnation)
    return refuse(PeerRefusal::Malformed);
  PeerMessage message{envelope.sender(),
                      envelope.incarnation(),
                      envelope.message_sequence(),
                      {}};
  if (const auto fault = readBody(envelope, message.Body))
    return refuse(*fault);
  if (const auto reason = admit(message))
    return refuse(*reason);
  return message;
}

void PeerCodec::forget(std::string_view sender) {
  Senders.erase(std::string(sender));
}

std::array<unsigned char, PeerCodec::MacBytes>
PeerCodec::mac(std::string_view envelope) const {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       reinterpret_cast<const unsigned char *>(envelope.data()),
       envelope.size(), digest.data(), &size);
  std::array<unsigned char, MacBytes> code{};
  std::copy_n(digest.begin(), MacBytes, code.begin());
  return code;
}

PeerCodec::Decoded PeerCodec::refuse(PeerRefusal reason) {
  ++Refused[static_cast<std::size_t>(reason)];
  return reason;
}

std::optional<PeerRefusal> PeerCodec::admit(const PeerMessage &message) {
  auto it = Senders.find(message.Sender);
  if (it == Senders.end()) {
    const auto *heartbeat = std::get_if<Heartbeat>(&message.Body);
    if (heartbeat == nullptr || !heartbeat->Intro ||
        Senders.size() >= MaxSenders)
      return PeerRefusal::UnknownSender;
    it = Senders.emplace(message.Sender, LastFrame{}).first;
  }
  auto &last = it->second;
  if (std::pair(message.Incarnation, message.Sequence) <=
      std::pair(last.Incarnation, last.Sequence))
    return PeerRefusal::OldSequence;
  last = {message.Incarnation, message.Sequence};
  return std::nullopt;
}

} // namespace auburnroute::protocol
