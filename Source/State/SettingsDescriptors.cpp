#include "State/SettingsDescriptors.h"

#include <limits>

namespace auburnroute::state {

using V = ValueDescriptor;

namespace {

constexpr auto MaxInteger = std::numeric_limits<std::int64_t>::max();

} // namespace

const FieldTable<Settings> &documentDescriptors() {
  using S = Settings;
  static const FieldTable<S> table{
      field<S, &S::Revision>(
          V::integer("revision", "", 1, MaxInteger,
                     "Number of the document; each published document has a "
                     "higher one.")
              .required()),
      field<S, &S::FlowSeed>(
          V::integer("flowSeed", "", 0, MaxInteger,
                     "Seed of the flow hash; a change breaks every "
                     "established flow.")),
      field<S, &S::Region>(V::name("region", "Name of the region.")),
  };
  return table;
}

const FieldTable<Service> &serviceDescriptors() {
  using S = Service;
  static const FieldTable<S> table{
      field<S, &S::Owner>(
          V::name("owner", "Name of an entry of owners.").required()),
  };
  return table;
}

const FieldTable<Listener> &listenerDescriptors() {
  using L = Listener;
  static const FieldTable<L> table{
      field<L, &L::Address>(
          V::endpoint("address", "What callers connect to; one listener in "
                                 "the document.")
              .required()),
      field<L, &L::Kind>(
          V::choice("kind", {"request", "feed"},
                    "Short exchanges that take a slot, or long-lived flows "
                    "that take a connection only.")),
      field<L, &L::BackendPort>(
          V::integer("backendPort", "", 1, 65535,
                     "Port of the backend servers behind the listener; "
                     "one listener of the service.")
              .required()),
  };
  return table;
}

const FieldTable<BackendServer> &backendServerDescriptors() {
  using B = BackendServer;
  static const FieldTable<B> table{
      field<B, &B::Name>(V::name("name", "Unique in the service.").required()),
      field<B, &B::Number>(
          V::integer("number", "", 1, 4095,
                     "Unique in the service; carried in the packets and not "
                     "to be reused while flows may be alive.")
              .required()),
      field<B, &B::Zone>(
          V::name("zone", "Name of an entry of zones.").required()),
      field<B, &B::Address>(
          V::address("address", "Address that its packets carry.").required()),
      field<B, &B::Tunnel>(
          V::endpoint("tunnel", "UDP endpoint that takes its packets.")
              .required()),
      field<B, &B::LoadReport>(
          V::endpoint("loadReport", "HTTP endpoint that serves GET /load; "
                                    "one backend server in the document.")
              .required()),
      field<B, &B::Slots>(V::integer("slots", "requests", 1, 100000,
                                     "Requests that it works on at once.")),
      field<B, &B::Connections>(V::integer("connections", "flows", 1, 10000000,
                                           "Open flows that it takes.")),
      field<B, &B::Weight>(V::integer("weight", "", 1, 1000,
                                      "Share of the flows relative to the "
                                      "other backend servers.")),
      field<B, &B::Mode>(
          V::choice("state", {"active", "draining"},
                    "A draining backend server keeps its flows and gets no "
                    "new ones.")),
  };
  return table;
}

} // namespace auburnroute::state
