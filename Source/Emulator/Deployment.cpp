#include "Emulator/Deployment.h"

#include "State/FieldDescriptor.h"
#include "State/JsonReader.h"
#include "State/ObjectReader.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace auburnroute::emulator {

using namespace std::chrono_literals;
using state::field;
using state::FieldTable;
using V = state::ValueDescriptor;

namespace {

constexpr std::size_t MaxItems = 100;
constexpr std::int64_t MaxHosts = 2000;
constexpr std::int64_t MaxServers = 10000;
constexpr double MaxNumber = 1e6;

const FieldTable<ZoneSpec> &zoneFields() {
  using T = ZoneSpec;
  static const FieldTable<T> table{
      field<T, &T::Name>(V::name("name", "Availability zone.").required()),
      field<T, &T::Hosts>(V::integer("hosts", "hosts", 1, MaxHosts,
                                     "Load balancer hosts in the zone.")),
      field<T, &T::TrafficWeight>(
          V::share("callers", 0, MaxNumber,
                   "Share of the traffic relative to other zones.")),
  };
  return table;
}

const FieldTable<ServiceSpec> &serviceFields() {
  using T = ServiceSpec;
  static const FieldTable<T> table{
      field<T, &T::Name>(V::name("name", "Service.").required()),
      field<T, &T::Servers>(V::integer("servers", "servers", 1, MaxServers,
                                       "Backend servers in all zones.")),
      field<T, &T::Slots>(
          V::integer("slots", "requests", 1, 1000,
                     "Requests that a server runs concurrently.")),
      field<T, &T::QueueLimit>(
          V::integer("queue", "requests", 0, 10000,
                     "Waiting requests of a server; further ones are shed.")),
      field<T, &T::ColdDuration>(
          V::duration("coldFor", 0ms, 10min,
                      "Time after its start in which a server is slower.")),
      field<T, &T::ColdFactor>(
          V::share("coldFactor", 1, 100,
                   "Factor on the processing time of a cold server.")),
  };
  return table;
}

const FieldTable<RequestSpec> &requestFields() {
  using T = RequestSpec;
  static const FieldTable<T> table{
      field<T, &T::Name>(V::name("name", "Kind of request.").required()),
      field<T, &T::Service>(V::name("service", "Service.").required()),
      field<T, &T::Kind>(V::choice("kind",
                                   {"idempotent", "nonIdempotent", "download"},
                                   "Whether callers may repeat the request.")),
      field<T, &T::ReusesFlow>(
          V::integer("feed", "", 0, 1,
                     "1: requests share open flows; 0: one flow per request.")),
      field<T, &T::Flows>(
          V::integer("flows", "", 0, 1000000,
                     "Flows that stay open; 0: as few as are needed.")),
      field<T, &T::RequestsPerFlow>(
          V::share("requestsPerFlow", 1, MaxNumber,
                   "Mean number of requests until such a flow ends.")),
      field<T, &T::RatePerSecond>(V::share("perSecond", 0, MaxNumber,
                                           "Mean rate of all zones together.")),
      field<T, &T::MeanWorkMs>(
          V::share("workMs", 0.01, MaxNumber, "Mean processing time, ms.")),
      field<T, &T::WorkSigma>(V::share(
          "spread", 0, 5,
          "Standard deviation of the logarithm of the processing time.")),
      field<T, &T::TailShare>(V::share(
          "tailShare", 0, 1,
          "Share of the requests that take tailFactor times as long.")),
      field<T, &T::TailFactor>(V::share(
          "tailFactor", 1, 1000, "Factor on the processing time of the tail.")),
      field<T, &T::Objective>(
          V::duration("objective", 1ms, 10min, "Latency objective.")),
      field<T, &T::TimeLimit>(
          V::duration("timeLimit", 1ms, 10min, "Deadline, with all retries.")),
      field<T, &T::FullCredit>(V::share(
          "worth", 0, MaxNumber, "Score of an answer within the objective.")),
      field<T, &T::LateCredit>(
          V::share("lateWorth", 0, MaxNumber, "Score of a late answer.")),
      field<T, &T::Retries>(
          V::integer("retries", "", 0, 10, "Attempts after the first one.")),
  };
  return table;
}

const FieldTable<Disruption> &disruptionFields() {
  using T = Disruption;
  static const FieldTable<T> table{
      field<T, &T::Kind>(
          V::choice("kind",
                    {"killHosts", "crashServers", "replaceServers",
                     "slowServers", "cutZone", "burst"},
                    "Kind of disruption.")
              .required()),
      field<T, &T::Offset>(
          V::duration("at", 0ms, 24h, "Time from the start of the run.")),
      field<T, &T::Duration>(
          V::duration("for", 0ms, 24h, "Duration of the disruption.")),
      field<T, &T::Share>(
          V::share("share", 0, 1, "Affected share of the hosts or servers.")),
      field<T, &T::Factor>(V::share(
          "factor", 0, 1000, "Factor on the processing time or the traffic.")),
      field<T, &T::Zone>(V::name("zone", "Availability zone to isolate.")),
  };
  return table;
}

const FieldTable<Candidate> &candidateFields() {
  using T = Candidate;
  static const FieldTable<T> table{
      field<T, &T::Name>(V::name("name", "Name in the report.").required()),
      field<T, &T::Rule>(V::choice("rule",
                                   {"leastLoad", "twoChoices", "random"},
                                   "How new flows are placed.")),
      field<T, &T::OtherZone>(V::share(
          "otherZone", 0, 100, "Load added to servers of other zones.")),
      field<T, &T::Cold>(
          V::share("cold", 0, 100, "Load added to cold servers.")),
      field<T, &T::OpenFlow>(
          V::share("openFlow", 0, 100, "Load of an idle open flow.")),
      field<T, &T::SuspicionHold>(V::duration(
          "suspicionHold", 0ms, 10min,
          "How long a server stays suspect; 0 disables suspicion.")),
      field<T, &T::ShareInterval>(V::duration(
          "shareInterval", 0ms, 10min,
          "Interval in which hosts learn the load by others; 0: never.")),
      field<T, &T::Margin>(V::share("margin", 0, 100,
                                    "Difference up to which loads are equal.")),
      field<T, &T::Choices>(V::integer("choices", "", 0, 1000,
                                       "Servers that are compared; 0: all.")),
      field<T, &T::RemoteRequests>(V::share(
          "remoteRequests", 0, 100, "Factor on the requests by others.")),
      field<T, &T::RemoteFlows>(V::share(
          "remoteFlows", 0, 100, "Factor on the open flows by others.")),
      field<T, &T::Subset>(
          V::share("subset", 0, 1, "Share of the servers that a host uses.")),
  };
  return table;
}

const FieldTable<Deployment> &deploymentFields() {
  using T = Deployment;
  static const FieldTable<T> table{
      field<T, &T::InZoneDelayMs>(
          V::share("inZoneMs", 0, 1000, "One-way delay in a zone, ms.")),
      field<T, &T::CrossZoneDelayMs>(
          V::share("crossZoneMs", 0, 1000, "One-way delay between zones, ms.")),
      field<T, &T::CallerDelayMs>(V::share(
          "callerMs", 0, 1000, "One-way delay to and from callers, ms.")),
      field<T, &T::AcknowledgesAtOnce>(V::integer(
          "acksAtOnce", "", 0, 1,
          "1: servers acknowledge requests before they answer them.")),
      field<T, &T::HeartbeatInterval>(
          V::duration("heartbeat", 1ms, 10min,
                      "Interval in which servers renew their registration.")),
      field<T, &T::PropagationTime>(
          V::duration("changeTime", 0ms, 10min,
                      "Longest time until a host learns of a change.")),
      field<T, &T::Duration>(
          V::duration("length", 1s, 24h, "Virtual time of one run.")),
      field<T, &T::RateSwing>(
          V::share("swing", 0, 1, "Relative amplitude of the traffic rate.")),
      field<T, &T::RatePeriod>(
          V::duration("period", 1s, 24h, "Period of the traffic rate.")),
  };
  return table;
}

template <class Target>
std::vector<Target> readList(const state::JsonNode &root, std::string_view key,
                             std::size_t min, const FieldTable<Target> &fields,
                             state::ObjectReader &reader,
                             state::ErrorList &faults) {
  std::vector<Target> list;
  const auto *node = root.find(key);
  if (node == nullptr) {
    if (min > 0)
      faults.add(root.Line, key, "is missing", "an array");
    return list;
  }
  if (!reader.checkArray(*node, key, min, MaxItems))
    return list;
  for (std::size_t i = 0; i < node->Items.size(); ++i)
    reader.read(node->Items[i], absl::StrCat(std::string(key), "[", i, "]"),
                fields, list.emplace_back());
  return list;
}

/// Reports an error at \p path unless \p known has an element \p name.
template <class Target>
void checkName(const std::vector<Target> &known, const std::string &name,
               std::string_view path, state::ErrorList &faults) {
  if (std::ranges::find(known, name, &Target::Name) == known.end())
    faults.add(1, path, absl::StrCat("\"", name, "\" is not defined"),
               "a name from this file");
}

} // namespace

absl::StatusOr<Deployment> loadDeployment(std::string_view text,
                                          std::string_view fileName) {
  state::ErrorList faults(fileName);
  const auto root = state::JsonReader::read(text, faults);
  if (!root)
    return faults.status();
  state::ObjectReader reader(faults);
  Deployment deployment;
  if (!reader.checkObject(*root, ""))
    return faults.status();
  reader.read(*root, "", deploymentFields(), deployment,
              {"zones", "services", "requests", "troubles", "candidates"});
  deployment.Zones = readList(*root, "zones", 1, zoneFields(), reader, faults);
  deployment.Services =
      readList(*root, "services", 1, serviceFields(), reader, faults);
  deployment.Requests =
      readList(*root, "requests", 1, requestFields(), reader, faults);
  deployment.Disruptions =
      readList(*root, "troubles", 0, disruptionFields(), reader, faults);
  deployment.Candidates =
      readList(*root, "candidates", 1, candidateFields(), reader, faults);
  for (const auto &it : deployment.Requests)
    checkName(deployment.Services, it.Service, "requests", faults);
  for (const auto &it : deployment.Disruptions)
    if (!it.Zone.empty())
      checkName(deployment.Zones, it.Zone, "troubles", faults);
  if (!faults.empty())
    return faults.status();
  return deployment;
}

std::vector<std::string_view> deploymentKeys() {
  std::vector<std::string_view> keys{"zones", "services", "requests",
                                     "troubles", "candidates"};
  const auto add = [&](const auto &fields) {
    for (const auto &it : fields)
      keys.push_back(it.Value.Key);
  };
  add(deploymentFields());
  add(zoneFields());
  add(serviceFields());
  add(requestFields());
  add(disruptionFields());
  add(candidateFields());
  return keys;
}

} // namespace auburnroute::emulator
