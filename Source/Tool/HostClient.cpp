#include "Tool/Fleet.h"

#include "Common/Text.h"
#include "Transport/HttpClient.h"

#include "absl/strings/str_cat.h"

#include <map>
#include <nlohmann/json.hpp>
#include <ostream>

namespace auburnroute::tool {

namespace {

constexpr std::chrono::milliseconds Timeout{1000};

absl::StatusOr<std::string> get(common::Endpoint endpoint,
                                const std::string &path) {
  transport::HttpClient client(endpoint, Timeout);
  auto response = client.get(path);
  if (!response.ok())
    return response.status();
  if (response->Status != common::HttpResponse::Ok)
    return absl::UnavailableError(absl::StrCat(
        common::toString(endpoint), " answers with status ", response->Status));
  return std::move(response->Body);
}

} // namespace

absl::StatusOr<Fleet> Fleet::discover(const Arguments &arguments) {
  std::map<common::Endpoint, std::string> found;
  std::string fault = "no host is named, see --hosts";
  bool answered = false;
  for (const auto &it : arguments.Hosts) {
    const auto endpoint = common::parseEndpoint(it);
    if (!endpoint.ok())
      return endpoint.status();
    // A host that does not answer now is still asked, and reported.
    found.try_emplace(*endpoint, it);
    const auto status = get(*endpoint, "/status");
    if (!status.ok()) {
      fault = std::string(status.status().message());
      continue;
    }
    answered = true;
    const auto root = nlohmann::json::parse(*status, nullptr, false);
    if (!root.is_object() || !root.contains("hosts"))
      continue;
    for (const auto &host : root.at("hosts")) {
      const auto other =
          common::parseEndpoint(host.value("operator", std::string()));
      if (other.ok() && host.value("state", "") != "dead")
        found[*other] = host.value("name", "");
    }
  }
  if (!answered)
    return absl::UnavailableError(fault);
  Fleet fleet;
  for (const auto &[endpoint, name] : found)
    fleet.Members.push_back({name, endpoint});
  return fleet;
}

std::vector<HostAnswer> Fleet::ask(const std::string &path) const {
  std::vector<HostAnswer> answers;
  for (const auto &it : Members)
    answers.push_back({it.Name, get(it.Operator, path)});
  return answers;
}

std::vector<std::string>
unansweredHosts(const std::vector<HostAnswer> &answers) {
  std::vector<std::string> names;
  for (const auto &it : answers)
    if (!it.Body.ok())
      names.push_back(it.Host);
  return names;
}

std::size_t reportUnanswered(const std::vector<HostAnswer> &answers,
                             std::ostream &out) {
  std::size_t n = 0;
  for (const auto &it : answers) {
    if (it.Body.ok())
      continue;
    ++n;
    out << "not answered by " << it.Host << ": " << it.Body.status().message()
        << "\n";
  }
  return n;
}

} // namespace auburnroute::tool
