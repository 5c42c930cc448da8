#include "Tool/HostClient.h"

#include "Common/Text.h"
#include "Transport/HttpClient.h"

#include "absl/strings/str_cat.h"

#include <map>
#include <nlohmann/json.hpp>
#include <ostream>

namespace auburnroute::tool {

namespace {

constexpr std::chrono::milliseconds RequestTimeout{1000};

absl::StatusOr<std::string> getBody(common::Endpoint endpoint,
                                    const std::string &path) {
  transport::HttpClient client(endpoint, RequestTimeout);
  auto response = client.get(path);
  if (!response.ok())
    return response.status();
  if (response->Status != common::HttpResponse::Ok)
    return absl::UnavailableError(absl::StrCat(
        common::toString(endpoint), ": HTTP status ", response->Status));
  return std::move(response->Body);
}

/// The member \p name of \p object if it is a string, otherwise empty.
std::string textOf(const nlohmann::json &object, const char *name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

} // namespace

absl::StatusOr<HostClient> HostClient::discover(const Arguments &arguments) {
  std::map<common::Endpoint, std::string> namesByEndpoint;
  std::string lastError = "--hosts is empty, see --help";
  bool hasResponse = false;
  for (const auto &it : arguments.Hosts) {
    const auto endpoint = common::parseEndpoint(it);
    if (!endpoint.ok())
      return endpoint.status();
    // A host that does not respond now is still queried, so that it is
    // reported.
    namesByEndpoint.try_emplace(*endpoint, it);
    const auto status = getBody(*endpoint, "/status");
    if (!status.ok()) {
      lastError = std::string(status.status().message());
      continue;
    }
    hasResponse = true;
    const auto root = nlohmann::json::parse(*status, nullptr, false);
    if (!root.is_object() || !root.contains("hosts"))
      continue;
    for (const auto &host : root.at("hosts")) {
      const auto peerEndpoint = common::parseEndpoint(textOf(host, "operator"));
      if (peerEndpoint.ok() && textOf(host, "state") != "dead")
        namesByEndpoint[*peerEndpoint] = textOf(host, "name");
    }
  }
  if (!hasResponse)
    return absl::UnavailableError(lastError);
  HostClient client;
  for (const auto &[endpoint, name] : namesByEndpoint)
    client.Hosts.push_back({name, endpoint});
  return client;
}

std::vector<HostResponse>
HostClient::getFromAll(const std::string &path) const {
  std::vector<HostResponse> responses;
  for (const auto &it : Hosts)
    responses.push_back({it.Name, getBody(it.Operator, path)});
  return responses;
}

std::vector<std::string>
failedHosts(const std::vector<HostResponse> &responses) {
  std::vector<std::string> names;
  for (const auto &it : responses)
    if (!it.Body.ok())
      names.push_back(it.Host);
  return names;
}

std::size_t reportFailedHosts(const std::vector<HostResponse> &responses,
                              std::ostream &out) {
  std::size_t count = 0;
  for (const auto &it : responses) {
    if (it.Body.ok())
      continue;
    ++count;
    out << "request to " << it.Host << " failed: " << it.Body.status().message()
        << "\n";
  }
  return count;
}

} // namespace auburnroute::tool
