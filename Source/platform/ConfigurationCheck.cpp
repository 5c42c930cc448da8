#include "platform/ConfigurationCheck.h"

#include "Common/Endpoint.h"
#include "Common/Text.h"
#include "Routing/RouteTable.h"
#include "platform/StoreCodec.h"

#include "absl/strings/str_cat.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string_view>

#include <nlohmann/json.hpp>

namespace auburnroute::platform {

using common::toAbsl;
using nlohmann::json;

namespace {

constexpr std::string_view ServiceName =
    "1 to 200 letters, digits, '-', '_' and '.'";

/// Collects the findings of one document.
class Checker {
public:
  void checkDocument(const json &document);

  std::vector<ConfigurationFinding> Findings;

private:
  void error(std::string path, std::string what, std::string_view expected) {
    Findings.push_back(
        {true, std::move(path), std::move(what), std::string(expected)});
  }
  void warn(std::string path, std::string what, std::string_view expected) {
    Findings.push_back(
        {false, std::move(path), std::move(what), std::string(expected)});
  }
  /// The member \p key of \p object, which is at \p path, as a non-negative
  /// integer; nullopt if it is absent or, with an error, of another type.
  std::optional<std::uint64_t>
  integer(const json &object, const std::string &path, const std::string &key);
  std::optional<double> number(const json &object, const std::string &path,
                               const std::string &key, double max);
  /// The member \p key as a string. \p isRequired: its absence is an error.
  std::optional<std::string> text(const json &object, const std::string &path,
                                  const std::string &key, bool isRequired);
  /// The same for the name of a service.
  std::optional<std::string> serviceName(const json &object,
                                         const std::string &path,
                                         const std::string &key);
  /// The elements of the array \p key of the document.
  const json *array(const json &document, const std::string &key,
                    bool isRequired);
  void checkRoute(const json &route, const std::string &path);
  void checkAddress(const json &route, const std::string &path);
  void checkTimes(const json &route, const std::string &path);
  void checkShares(const json &route, const std::string &path);
  void checkService(const json &service, const std::string &path);
  void checkLimits(const json &document);

  /// Path of the first route by address, and of the first service by name.
  std::map<std::uint64_t, std::string> RouteByAddress;
  std::map<std::string, std::string> RouteByName;
  std::map<std::string, std::string> ServiceByName;
  std::set<std::string> RoutedServices;
  /// The longest timeout of a route, and its path.
  std::uint64_t LongestTimeout = 0;
  std::string LongestTimeoutPath;
};

std::string memberPath(const std::string &path, std::string_view key) {
  return path.empty() ? std::string(key) : absl::StrCat(path, ".", toAbsl(key));
}

std::optional<std::uint64_t> Checker::integer(const json &object,
                                              const std::string &path,
                                              const std::string &key) {
  const auto it = object.find(key);
  if (it == object.end())
    return std::nullopt;
  if (it->is_number_unsigned())
    return it->get<std::uint64_t>();
  error(memberPath(path, key), absl::StrCat(it->dump(), " is not accepted"),
        "an integer of 0 or more");
  return std::nullopt;
}

std::optional<double> Checker::number(const json &object,
                                      const std::string &path,
                                      const std::string &key, double max) {
  const auto it = object.find(key);
  if (it == object.end())
    return std::nullopt;
  if (!it->is_number() || it->get<double>() < 0) {
    error(memberPath(path, key), absl::StrCat(it->dump(), " is not accepted"),
          "a number of 0 or more");
    return std::nullopt;
  }
  const auto value = it->get<double>();
  if (value > max)
    warn(memberPath(path, key),
         absl::StrCat("hosts take ", it->dump(), " as ", max),
         absl::StrCat("at most ", max));
  return value;
}

std::optional<std::string> Checker::text(const json &object,
                                         const std::string &path,
                                         const std::string &key,
                                         bool isRequired) {
  const auto it = object.find(key);
  if (it == object.end()) {
    if (isRequired)
      error(memberPath(path, key), "is missing", "a string");
    return std::nullopt;
  }
  if (it->is_string())
    return it->get<std::string>();
  error(memberPath(path, key), absl::StrCat(it->dump(), " is not accepted"),
        "a string");
  return std::nullopt;
}

std::optional<std::string> Checker::serviceName(const json &object,
                                                const std::string &path,
                                                const std::string &key) {
  auto name = text(object, path, key, true);
  if (!name || routing::isValidName(*name))
    return name;
  error(memberPath(path, key),
        absl::StrCat("no server can have the service \"", *name, "\""),
        ServiceName);
  return std::nullopt;
}

const json *Checker::array(const json &document, const std::string &key,
                           bool isRequired) {
  const auto it = document.find(key);
  if (it == document.end()) {
    if (isRequired)
      error(key, "is missing", "an array of objects");
    return nullptr;
  }
  if (it->is_array())
    return &*it;
  error(key, "is no array", "an array of objects");
  return nullptr;
}

void Checker::checkAddress(const json &route, const std::string &path) {
  const auto host = text(route, path, "host", true);
  const auto prefix = text(route, path, "prefix", true);
  if (!host || !prefix)
    return;
  if (!common::parseEndpoint(absl::StrCat(*host, ":1")).ok()) {
    error(memberPath(path, "host"),
          absl::StrCat("\"", *host, "\" is no address"), "an IPv4 address");
    return;
  }
  const auto endpoint =
      prefix->size() > 2 && prefix->front() == '/' && prefix->back() == '/'
          ? common::parseEndpoint(
                absl::StrCat(*host, ":", prefix->substr(1, prefix->size() - 2)))
          : absl::InvalidArgumentError("no slashes");
  if (!endpoint.ok()) {
    error(memberPath(path, "prefix"),
          absl::StrCat("\"", *prefix, "\" is no port between slashes"),
          "\"/PORT/\" with a port from 1 to 65535");
    return;
  }
  const auto [it, added] = RouteByAddress.try_emplace(endpoint->key(), path);
  if (!added)
    warn(path,
         absl::StrCat("can never match, as ", it->second,
                      " has the same address ", common::toString(*endpoint)),
         "an address of its own");
}

void Checker::checkTimes(const json &route, const std::string &path) {
  const auto timeout = integer(route, path, "timeout_ms");
  const auto aim = integer(route, path, "aim_ms");
  if (timeout.value_or(0) > LongestTimeout) {
    LongestTimeout = *timeout;
    LongestTimeoutPath = memberPath(path, "timeout_ms");
  }
  if (timeout && aim && *aim > *timeout)
    warn(memberPath(path, "aim_ms"),
         absl::StrCat("the objective of ", *aim, " ms is above the timeout of ",
                      *timeout, " ms"),
         "at most timeout_ms");
}

void Checker::checkShares(const json &route, const std::string &path) {
  const auto shares = route.find("backends");
  if (route.contains("service")) {
    if (const auto name = serviceName(route, path, "service"))
      RoutedServices.insert(*name);
    if (shares != route.end())
      warn(memberPath(path, "backends"), "has no effect beside service",
           "one of service and backends");
    return;
  }
  if (shares == route.end() || !shares->is_array() || shares->empty()) {
    error(memberPath(path, "backends"),
          shares == route.end() ? "is missing, and so is service"
                                : "has no services",
          "service, or backends with at least one object");
    return;
  }
  std::uint64_t total = 0;
  bool isReadable = true;
  for (std::size_t i = 0; i < shares->size(); ++i) {
    const auto &share = (*shares)[i];
    const auto sharePath = absl::StrCat(path, ".backends[", i, "]");
    if (!share.is_object()) {
      error(sharePath, "is no object", "an object with service and weight");
      isReadable = false;
      continue;
    }
    const auto name = serviceName(share, sharePath, "service");
    if (!share.contains("weight"))
      error(memberPath(sharePath, "weight"), "is missing",
            "an integer of 0 or more");
    const auto weight = integer(share, sharePath, "weight");
    if (weight == 0U)
      warn(memberPath(sharePath, "weight"), "0 sends no flows to this service",
           "1 or more");
    if (name && weight)
      RoutedServices.insert(*name);
    isReadable = isReadable && weight.has_value();
    total += std::min<std::uint64_t>(weight.value_or(0),
                                     std::numeric_limits<std::uint32_t>::max());
  }
  if (isReadable && total == 0)
    warn(memberPath(path, "backends"),
         "all weights are 0, so that the first service gets all flows",
         "a weight of 1 or more");
}

void Checker::checkRoute(const json &route, const std::string &path) {
  if (!route.is_object()) {
    error(path, "is no object", "an object");
    return;
  }
  if (const auto name = text(route, path, "name", false)) {
    const auto [it, added] = RouteByName.try_emplace(*name, path);
    if (!added)
      warn(memberPath(path, "name"),
           absl::StrCat("\"", *name, "\" is also the name of ", it->second),
           "a name of its own");
  }
  checkAddress(route, path);
  if (const auto type = text(route, path, "type", false);
      type && *type != "safe" && *type != "unsafe" && *type != "download")
    error(memberPath(path, "type"),
          absl::StrCat("\"", *type, "\" is no type; hosts take it as unsafe"),
          "safe, unsafe or download");
  checkTimes(route, path);
  integer(route, path, "priority");
  checkShares(route, path);
}

void Checker::checkService(const json &service, const std::string &path) {
  if (!service.is_object()) {
    error(path, "is no object", "an object");
    return;
  }
  const auto name = serviceName(service, path, "name");
  const auto seconds =
      number(service, path, "cold_start_s", StoreCodec::MaxColdStartSeconds);
  const auto rate =
      number(service, path, "cold_per_s", StoreCodec::MaxColdStartRate);
  if (rate.value_or(0) > 0 && seconds.value_or(0) == 0)
    warn(memberPath(path, "cold_per_s"),
         "a rate for cold servers has no effect without a time",
         "cold_start_s above 0, or cold_per_s of 0");
  // A rate of 0 says that there is none.
  if (seconds.value_or(0) > 0 && !service.contains("cold_per_s"))
    warn(memberPath(path, "cold_start_s"),
         "a time for cold servers has no effect without a rate",
         "cold_per_s, which may be 0 for no limit");
  if (!name)
    return;
  const auto [it, added] = ServiceByName.try_emplace(*name, path);
  if (!added)
    warn(path,
         absl::StrCat("is not used, as ", it->second, " has the same name"),
         "a name of its own");
  else if (!RoutedServices.contains(*name))
    warn(path, absl::StrCat("no route leads to the service ", *name),
         "a route to it");
}

void Checker::checkLimits(const json &document) {
  auto idle = static_cast<std::uint64_t>(
      routing::RoutingConfiguration().IdleTimeout.count());
  auto path = LongestTimeoutPath;
  if (const auto limits = document.find("limits"); limits != document.end()) {
    if (!limits->is_object()) {
      error("limits", "is no object", "an object");
    } else if (const auto stated =
                   integer(*limits, "limits", "idle_timeout_ms")) {
      idle = *stated;
      path = "limits.idle_timeout_ms";
    }
  }
  if (LongestTimeout > idle)
    warn(path,
         absl::StrCat("the idle timeout of ", idle, " ms is below ",
                      LongestTimeoutPath, " of ", LongestTimeout,
                      " ms, so that a flow may be discarded while a request "
                      "waits"),
         "an idle timeout of at least the longest timeout");
}

void Checker::checkDocument(const json &document) {
  if (!document.is_object()) {
    error("", "is no object", "an object");
    return;
  }
  if (!document.contains("version"))
    error("version", "is missing", "an integer of 1 or more");
  else if (integer(document, "", "version") == 0U)
    error("version", "0 is not accepted", "an integer of 1 or more");
  if (const auto *routes = array(document, "routes", true)) {
    if (routes->empty())
      warn("routes", "there are none, so that all packets are refused",
           "at least one route");
    for (std::size_t i = 0; i < routes->size(); ++i)
      checkRoute((*routes)[i], absl::StrCat("routes[", i, "]"));
  }
  if (const auto *services = array(document, "services", false))
    for (std::size_t i = 0; i < services->size(); ++i)
      checkService((*services)[i], absl::StrCat("services[", i, "]"));
  checkLimits(document);
}

} // namespace

std::vector<ConfigurationFinding>
ConfigurationCheck::findings(const json &document) {
  Checker checker;
  checker.checkDocument(document);
  return std::move(checker.Findings);
}

} // namespace auburnroute::platform
