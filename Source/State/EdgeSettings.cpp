#include "State/EdgeSettings.h"

#include "State/FieldDescriptor.h"
#include "State/JsonReader.h"
#include "State/ObjectReader.h"

namespace auburnroute::state {

using namespace std::chrono_literals;

namespace {

const FieldTable<EdgeSettings> &edgeDescriptors() {
  using E = EdgeSettings;
  using V = ValueDescriptor;
  static const FieldTable<E> table{
      field<E, &E::Host>(V::name("host", "Name of this host.").required()),
      field<E, &E::Zone>(
          V::name("zone", "Availability zone of this host.").required()),
      field<E, &E::Packets>(
          V::endpoint("packets", "UDP, packets from the routers. Packets to "
                                 "callers go to the same port.")
              .required()),
      field<E, &E::Ready>(
          V::endpoint("ready", "TCP, readiness for the routers.").required()),
      field<E, &E::Control>(
          V::endpoint("control", "TCP, status and metrics for operators.")
              .required()),
      field<E, &E::Metrics>(
          V::endpoint("metrics", "TCP, metrics for monitoring, beside those on "
                                 "control.")),
      field<E, &E::Peers>(
          V::endpoint("peers", "UDP and TCP, messages between hosts. The port "
                               "is the same on all hosts.")
              .required()),
      field<E, &E::Registry>(
          V::endpoint("registry",
                      "TCP, registry of configuration and backend servers.")
              .required()),
      field<E, &E::Seeds>(
          V::endpoints("seeds", 64,
                       "Control endpoints of hosts to ask first; "
                       "may be out of date.")),
      field<E, &E::Start>(
          V::choice("start", {"restart", "first"},
                    "Whether the whole fleet starts for the first time. Then "
                    "only the seeds read the registry at once.")),
      field<E, &E::ServerHeartbeat>(
          V::duration("serverHeartbeat", 1ms, 10min,
                      "Interval in which backend servers write their entry.")),
      field<E, &E::ChangeBound>(
          V::duration("changeBound", 500ms, 10min,
                      "Time in which a change has to be in force on all "
                      "hosts.")),
      field<E, &E::EvacuationBound>(
          V::duration("evacuationBound", 500ms, 10min,
                      "Time in which the evacuation of a zone has to be in "
                      "force on all hosts; changeBound by default.")),
      field<E, &E::FlowLifetime>(V::duration(
          "flowLifetime", 1s, 1000min, "Age up to which a flow must be kept.")),
      field<E, &E::StopTimeout>(V::duration("stopTimeout", 100ms, 60min,
                                            "Time from SIGTERM to SIGKILL.")),
      field<E, &E::ColdStartOverage>(
          V::share("coldStartOverage", 0, 1000,
                   "Factor of the rate of new flows that a service states for "
                   "cold servers.")),
      field<E, &E::ColdStartSlack>(
          V::share("coldStartSlack", 0, 1e6,
                   "New flows a second that cold servers bear beyond that.")),
      field<E, &E::LoadSharing>(
          V::choice("loadSharing", {"false", "true"},
                    "Whether hosts tell each other the load of busy "
                    "services.")),
      field<E, &E::AdmissionControl>(
          V::choice("admissionControl", {"false", "true"},
                    "Whether hosts that share loads refuse flows that cannot "
                    "be served in time.")),
      field<E, &E::CrossZoneCost>(
          V::duration("crossZoneCost", 0ms, 10s,
                      "Waiting time that callers should accept before their "
                      "flows are sent to another zone.")),
      field<E, &E::Outliers>(
          V::choice("outlierDetection", {"on", "off"},
                    "Whether servers that fail more often than the others of "
                    "their service get fewer new flows.")),
  };
  return table;
}

} // namespace

absl::StatusOr<EdgeSettings> loadEdgeSettings(std::string_view text,
                                              std::string_view fileName) {
  ErrorList errors(fileName);
  const auto root = JsonReader::read(text, errors);
  if (!root)
    return errors.status();
  EdgeSettings settings;
  ObjectReader(errors).read(*root, "", edgeDescriptors(), settings);
  if (!errors.empty())
    return errors.status();
  return settings;
}

std::vector<std::string_view> edgeSettingKeys() {
  std::vector<std::string_view> keys;
  for (const auto &it : edgeDescriptors())
    keys.push_back(it.Value.Key);
  return keys;
}

} // namespace auburnroute::state
