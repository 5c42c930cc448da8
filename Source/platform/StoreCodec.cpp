#include "platform/StoreCodec.h"

#include "Common/EpochTime.h"
#include "Common/Text.h"
#include "platform/JsonFilter.h"
#include "platform/JsonText.h"

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <nlohmann/json.hpp>

namespace auburnroute::platform {

using fleet::EntryRejection;
using fleet::RegistryCall;
using fleet::RegistryCallKind;
using fleet::RegistryPage;
using fleet::RejectedEntry;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view ServerPrefix = "servers/";
constexpr std::string_view ConfigurationKey = "op/config";
constexpr std::string_view EvacuationPrefix = "op/evacuate/";
constexpr std::string_view EraHeader = "store-era";
/// Longest value of a backend server. It has some 200 bytes, and its names at
/// most 200 each. A parse of 1 MiB, the limit of the registry, takes 0.2 s on a
/// host with 0.04 of a core.
constexpr std::size_t MaxServerBytes = 65536;

/// The member \p name as a string or non-negative integer; nullopt if it is
/// absent, of another type or out of the range of \p T.
template <typename T>
std::optional<T> member(const json &object, const char *name) {
  const auto it = object.find(name);
  if (it == object.end())
    return std::nullopt;
  if constexpr (std::is_same_v<T, std::string>) {
    if (it->is_string())
      return it->get<std::string>();
  } else if (it->is_number_unsigned()) {
    const auto value = it->get<std::uint64_t>();
    if (std::in_range<T>(value))
      return static_cast<T>(value);
  }
  return std::nullopt;
}

/// The member \p name as a non-negative integer, limited to \p max; nullopt if
/// it is absent or of another type.
std::optional<std::uint64_t> limitedMember(const json &object, const char *name,
                                           std::uint64_t max) {
  const auto it = object.find(name);
  if (it == object.end())
    return std::nullopt;
  if (it->is_number_unsigned())
    return std::min(it->get<std::uint64_t>(), max);
  // The parser reads integers of more than 64 bits as floating-point numbers.
  constexpr double PastUint64 = 18446744073709551616.0;
  if (it->is_number_float() && it->get<double>() >= PastUint64)
    return max;
  return std::nullopt;
}

/// The member \p name as a duration in milliseconds. Messages between hosts
/// hold at most MaxDuration, so that all hosts limit a longer one to it.
std::optional<milliseconds> durationMember(const json &object,
                                           const char *name) {
  constexpr std::uint64_t MaxDuration =
      std::numeric_limits<std::int32_t>::max();
  if (const auto value = limitedMember(object, name, MaxDuration))
    return milliseconds(*value);
  return std::nullopt;
}

/// Whether a backend server may have the key \p name.
bool isServerName(std::string_view name) {
  return routing::isValidName(name) && StoreCodec::identityOf(name).has_value();
}

/// \p id: a name for which isServerName() holds. Sets \p why if the entry is
/// not used.
std::optional<routing::ServerRegistration>
decodeServer(std::string_view id, std::string_view value, EntryRejection &why) {
  static const JsonFilter filter{"service", "address",  "zone",         "state",
                                 "slots",   "sequence", "cold_left_ms", "born"};
  why = EntryRejection::Syntax;
  const auto object = filter.read(value);
  if (!object)
    return std::nullopt;
  why = EntryRejection::Field;
  const auto service = member<std::string>(*object, "service");
  const auto address = member<std::string>(*object, "address");
  const auto zone = member<std::string>(*object, "zone");
  const auto state = member<std::string>(*object, "state");
  const auto identity = StoreCodec::identityOf(id);
  if (!service || !routing::isValidName(*service) || !address || !zone ||
      !routing::isValidName(*zone) || !state || !identity)
    return std::nullopt;
  const auto endpoint = common::parseEndpoint(*address);
  if (!endpoint.ok() || (*state != "ready" && *state != "draining"))
    return std::nullopt;
  const auto slots = member<std::uint32_t>(*object, "slots");
  const auto sequence = member<std::uint64_t>(*object, "sequence");
  // Each backend server increments "sequence" when it writes its entry, so an
  // entry without it was written by something else.
  const auto coldLeft = object->contains("cold_left_ms")
                            ? durationMember(*object, "cold_left_ms")
                            : milliseconds(0);
  const auto born = object->contains("born")
                        ? member<std::int64_t>(*object, "born")
                        : std::int64_t{0};
  if (!slots || *slots == 0 || !sequence || !coldLeft || !born ||
      !common::isValidEpochTime(*born))
    return std::nullopt;
  routing::ServerRegistration server;
  server.Name = id;
  server.Identity = *identity;
  server.Service = *service;
  server.Address = *endpoint;
  server.Zone = *zone;
  server.Slots = *slots;
  server.State = *state == "ready" ? routing::ServerState::Ready
                                   : routing::ServerState::Draining;
  server.WarmUpLeft = *coldLeft;
  server.StartTimeMs = *born;
  server.Sequence = *sequence;
  return server;
}

std::optional<routing::RequestKind> parseRequestKind(std::string_view word) {
  if (word == "safe")
    return routing::RequestKind::Idempotent;
  if (word == "unsafe")
    return routing::RequestKind::NonIdempotent;
  if (word == "download")
    return routing::RequestKind::Download;
  return std::nullopt;
}

std::optional<routing::Route> decodeRoute(const json &object) {
  if (!object.is_object())
    return std::nullopt;
  // "prefix" holds the port of the route between slashes: "/8443/".
  const auto host = member<std::string>(object, "host");
  const auto prefix = member<std::string>(object, "prefix");
  if (!host || !prefix || prefix->size() < 3 || prefix->front() != '/' ||
      prefix->back() != '/')
    return std::nullopt;
  const auto endpoint = common::parseEndpoint(
      absl::StrCat(*host, ":", prefix->substr(1, prefix->size() - 2)));
  if (!endpoint.ok())
    return std::nullopt;
  routing::Route route;
  route.Name = member<std::string>(object, "name").value_or("");
  route.Address = *endpoint;
  route.Kind =
      parseRequestKind(member<std::string>(object, "type").value_or(""))
          .value_or(routing::RequestKind::NonIdempotent);
  route.Timeout =
      durationMember(object, "timeout_ms").value_or(milliseconds(0));
  route.Objective = durationMember(object, "aim_ms").value_or(milliseconds(0));
  route.Priority = static_cast<std::uint32_t>(
      limitedMember(object, "priority",
                    std::numeric_limits<std::uint32_t>::max())
          .value_or(routing::Route::DefaultPriority));
  if (const auto service = member<std::string>(object, "service"))
    route.Services.push_back({*service, 1});
  else if (const auto it = object.find("backends");
           it != object.end() && it->is_array())
    for (const auto &share : *it) {
      if (!share.is_object())
        return std::nullopt;
      const auto name = member<std::string>(share, "service");
      const auto weight = limitedMember(
          share, "weight", std::numeric_limits<std::uint32_t>::max());
      if (!name || !weight)
        return std::nullopt;
      route.Services.push_back({*name, static_cast<std::uint32_t>(*weight)});
    }
  if (route.Services.empty())
    return std::nullopt;
  return route;
}

/// The member \p name as a non-negative number, limited to \p max; nullopt if
/// it is absent or of another type.
std::optional<double> numberMember(const json &object, const char *name,
                                   double max) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_number() || it->get<double>() < 0)
    return std::nullopt;
  return std::min(it->get<double>(), max);
}

/// The limit that \p object, an element of "services", states for cold
/// servers. A rate of 0 is the platform's word for none.
std::optional<routing::ColdStartLimit> decodeColdStart(const json &object) {
  if (!object.is_object())
    return std::nullopt;
  const auto name = member<std::string>(object, "name");
  const auto seconds =
      numberMember(object, "cold_start_s", StoreCodec::MaxColdStartSeconds);
  const auto rate =
      numberMember(object, "cold_per_s", StoreCodec::MaxColdStartRate);
  if (!name || !seconds || !rate || *seconds == 0 || *rate == 0)
    return std::nullopt;
  return routing::ColdStartLimit{*name,
                                 std::chrono::duration_cast<milliseconds>(
                                     std::chrono::duration<double>(*seconds)),
                                 *rate};
}

/// Sets \p skippedRoutes to the number of routes that are not used.
std::optional<routing::RoutingConfiguration>
decodeConfiguration(std::string_view value, std::uint32_t &skippedRoutes) {
  static const JsonFilter filter{"version",
                                 "routes",
                                 "routes[]",
                                 "routes[].name",
                                 "routes[].host",
                                 "routes[].prefix",
                                 "routes[].type",
                                 "routes[].timeout_ms",
                                 "routes[].aim_ms",
                                 "routes[].priority",
                                 "routes[].service",
                                 "routes[].backends",
                                 "routes[].backends[]",
                                 "routes[].backends[].service",
                                 "routes[].backends[].weight",
                                 "services",
                                 "services[]",
                                 "services[].name",
                                 "services[].cold_start_s",
                                 "services[].cold_per_s",
                                 "limits",
                                 "limits.idle_timeout_ms"};
  routing::RoutingConfiguration configuration;
  const auto object = filter.read(value, "routes[]", [&](const json &it) {
    if (auto route = decodeRoute(it))
      configuration.Routes.push_back(*std::move(route));
    else
      ++skippedRoutes;
  });
  if (!object)
    return std::nullopt;
  const auto version = member<std::uint64_t>(*object, "version");
  const auto routes = object->find("routes");
  if (!version || *version == 0 || routes == object->end() ||
      !routes->is_array())
    return std::nullopt;
  configuration.Version = *version;
  if (const auto services = object->find("services");
      services != object->end() && services->is_array())
    for (const auto &it : *services)
      if (auto limit = decodeColdStart(it))
        configuration.ColdStarts.push_back(*std::move(limit));
  if (const auto limits = object->find("limits");
      limits != object->end() && limits->is_object())
    if (const auto idle = durationMember(*limits, "idle_timeout_ms"))
      configuration.IdleTimeout = *idle;
  return configuration;
}

/// \p text as a value in the query of a URL (RFC 3986).
std::string percentEncoded(std::string_view text) {
  std::string encoded;
  for (const char ch : text) {
    const auto byte = static_cast<unsigned char>(ch);
    if (absl::ascii_isalnum(byte) ||
        std::string_view("-._~/").find(ch) != std::string_view::npos)
      encoded.push_back(ch);
    else
      absl::StrAppend(&encoded, "%", absl::Hex(byte, absl::kZeroPad2));
  }
  return encoded;
}

/// Counts \p n parts of an entry that are not used.
void reject(RegistryPage &page, RejectedEntry entry, std::uint32_t n = 1) {
  page.Unreadable += n;
  if (page.Rejected.size() < RegistryPage::MaxRejected)
    page.Rejected.push_back(std::move(entry));
}

/// The value of \p item, decoded. Sets \p rejected if it cannot be used.
std::optional<std::string> decodeValue(const json &item, bool isServer,
                                       RejectedEntry &rejected) {
  const auto it = item.find("value");
  if (it == item.end() || !it->is_string()) {
    rejected.Why = EntryRejection::Encoding;
    return std::nullopt;
  }
  const auto &text = it->get_ref<const std::string &>();
  rejected.Bytes = text.size() / 4 * 3;
  if (isServer && rejected.Bytes > MaxServerBytes) {
    rejected.Why = EntryRejection::TooLong;
    return std::nullopt;
  }
  std::string value;
  if (!absl::Base64Unescape(text, &value)) {
    rejected.Why = EntryRejection::Encoding;
    return std::nullopt;
  }
  return value;
}

/// Adds the evacuation, or the end of one, that the key of \p entry states. The
/// value may be anything.
void addEvacuation(RejectedEntry entry, bool isRemoved, RegistryPage &page) {
  auto zone = entry.Key.substr(EvacuationPrefix.size());
  if (routing::isValidName(zone))
    page.Evacuations.push_back(
        {std::move(zone), !isRemoved, /*Era=*/0, entry.Revision});
  else if (!isRemoved)
    reject(page, std::move(entry));
}

/// Decodes one item or event and adds it to \p page.
void decodeItem(const json &item, RegistryPage &page) {
  const auto key = item.is_object() ? member<std::string>(item, "key")
                                    : std::optional<std::string>();
  const auto revision =
      key ? member<std::uint64_t>(item, "revision") : std::nullopt;
  if (!revision) {
    reject(page, {.Key = key.value_or("")});
    return;
  }
  page.LastKey = *key;
  const bool isServer = key->starts_with(ServerPrefix);
  const bool isEvacuation = key->starts_with(EvacuationPrefix);
  if (!isServer && !isEvacuation && *key != ConfigurationKey)
    return;
  const auto name = isServer ? key->substr(ServerPrefix.size()) : *key;
  const auto tombstone = item.find("tombstone");
  const bool isRemoved = tombstone != item.end() && tombstone->is_boolean() &&
                         tombstone->get<bool>();
  RejectedEntry rejected{.Key = *key, .Revision = *revision};
  if (isEvacuation) {
    addEvacuation(std::move(rejected), isRemoved, page);
    return;
  }
  // Hosts cannot tell each other of such a name, and no server has it.
  if (isServer && !isServerName(name)) {
    if (!isRemoved)
      reject(page, std::move(rejected));
    return;
  }
  if (isRemoved) {
    if (isServer)
      page.Removed.push_back({name, *revision});
    return;
  }
  const auto value = decodeValue(item, isServer, rejected);
  if (!isServer) {
    std::uint32_t skippedRoutes = 0;
    auto configuration =
        value ? decodeConfiguration(*value, skippedRoutes) : std::nullopt;
    if (value)
      rejected.Why =
          configuration ? EntryRejection::Field : EntryRejection::Syntax;
    if (!configuration || skippedRoutes != 0)
      reject(page, std::move(rejected), configuration ? skippedRoutes : 1);
    if (configuration)
      page.Configuration = std::move(configuration);
    return;
  }
  if (auto server =
          value ? decodeServer(name, *value, rejected.Why) : std::nullopt) {
    server->Revision = *revision;
    page.Servers.push_back(*std::move(server));
    return;
  }
  reject(page, std::move(rejected));
  // The last valid entry is obsolete, so the backend server is removed.
  page.Removed.push_back({name, *revision, /*IsUnreadable=*/true});
}

absl::StatusOr<RegistryPage> decodePage(bool isList, std::string_view body) {
  // One element is stored at a time.
  static const JsonFilter listFilter{
      "at_rev",           "items",         "items[]",           "items[].key",
      "items[].revision", "items[].value", "items[].tombstone", "has_more"};
  static const JsonFilter watchFilter{"at_rev",
                                      "events",
                                      "events[]",
                                      "events[].key",
                                      "events[].revision",
                                      "events[].value",
                                      "events[].tombstone",
                                      "has_more"};
  RegistryPage page;
  const auto object = (isList ? listFilter : watchFilter)
                          .read(body, isList ? "items[]" : "events[]",
                                [&](const json &it) { decodeItem(it, page); });
  if (!object)
    return absl::InvalidArgumentError("the response body is not a JSON object");
  const auto revision = member<std::uint64_t>(*object, "at_rev");
  if (!revision)
    return absl::InvalidArgumentError(
        "the response body has no unsigned integer \"at_rev\"");
  page.Revision = *revision;
  const auto *listName = isList ? "items" : "events";
  const auto items = object->find(listName);
  if (items == object->end() || !items->is_array())
    return absl::InvalidArgumentError(
        absl::StrCat("the response body has no array \"", listName, "\""));
  const auto more = object->find("has_more");
  page.HasMore =
      more != object->end() && more->is_boolean() && more->get<bool>();
  return page;
}

} // namespace

std::string StoreCodec::requestTarget(const RegistryCall &call) {
  // The empty prefix selects servers and configuration in one call.
  if (call.Kind == RegistryCallKind::Watch)
    return absl::StrCat("/kv-watch?prefix=&after=", call.Revision,
                        "&wait_ms=", call.Wait.count());
  return absl::StrCat("/kv-range?prefix=", call.After.empty() ? "" : "&after=",
                      percentEncoded(call.After));
}

std::optional<std::uint64_t> StoreCodec::identityOf(std::string_view name) {
  const auto dash = name.rfind('-');
  const auto digits =
      dash == std::string_view::npos ? name : name.substr(dash + 1);
  std::uint64_t value = 0;
  if (digits.empty() || digits.size() > 16 ||
      !absl::SimpleHexAtoi(common::toAbsl(digits), &value) || value == 0)
    return std::nullopt;
  return value;
}

absl::StatusOr<std::uint64_t>
StoreCodec::eraOf(const common::HttpResponse &response) {
  const auto *text = response.header(EraHeader);
  if (text == nullptr)
    return 0;
  std::uint64_t era = 0;
  if (!absl::SimpleAtoi(*text, &era))
    return absl::InvalidArgumentError(
        "the header field \"Store-Era\" is not an unsigned integer");
  return era;
}

absl::StatusOr<RegistryPage> StoreCodec::decode(const RegistryCall &call,
                                                std::string_view body) {
  const bool isList = call.Kind == RegistryCallKind::List;
  auto page = decodePage(isList, body);
  // A key with odd bytes must not hide the other entries.
  if (!page.ok())
    if (const auto valid = withValidStrings(body); valid != body)
      page = decodePage(isList, valid);
  return page;
}

} // namespace auburnroute::platform
