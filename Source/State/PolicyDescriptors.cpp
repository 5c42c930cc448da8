#include "State/PolicyDescriptors.h"

namespace auburnroute::state {

using namespace std::chrono_literals;

const FieldTable<ServicePolicy> &policyDescriptors() {
  using P = ServicePolicy;
  using V = ValueDescriptor;
  // An objective of 1 leaves no error budget to divide by.
  constexpr double MaxObjective = 0.99999;
  constexpr double MinObjective = 0.5;
  static const FieldTable<P> table{
      field<P, &P::QueueLimit>(
          V::integer("queueLimit", "SYNs", 0, 65536,
                     "New flows that the admission owner holds at once.")),
      field<P, &P::QueueTimeout>(
          V::duration("queueTimeout", 1ms, 1min,
                      "Longest hold of a new flow before it is refused.")),
      field<P, &P::Timestamps>(
          V::choice("timestamps", {"refuse", "hash"},
                    "What happens to a SYN without TCP timestamps.")),
      field<P, &P::Zones>(
          V::choice("zoneMode", {"local", "failover"},
                    "Whether new flows may go to another zone when the own "
                    "zone has no healthy backend server.")),
      field<P, &P::SlowStart>(
          V::duration("slowStart", 0ms, 10min,
                      "Time in which a new or recovered backend server ramps "
                      "up.")),
      field<P, &P::ReportInterval>(V::duration(
          "reportInterval", 100ms, 1min, "Time between two load reports.")),
      field<P, &P::ReportTtl>(
          V::duration("reportTtl", 100ms, 5min,
                      "Age from which a load report is not used; at least "
                      "reportInterval.")),
      field<P, &P::EjectAfter>(
          V::integer("ejectAfter", "failures", 1, 1000,
                     "Consecutive failures that eject a backend server.")),
      field<P, &P::EjectFor>(V::duration("ejectFor", 100ms, 60min,
                                         "Time that an ejection lasts.")),
      field<P, &P::MaxEjectedShare>(
          V::share("maxEjectedShare", 0, 1,
                   "Largest ejected share of the backend servers.")),
      field<P, &P::AvailabilityObjective>(
          V::share("availabilityObjective", MinObjective, MaxObjective,
                   "Share of flows that shall end well.")),
      field<P, &P::WaitObjective>(
          V::duration("waitObjective", 1ms, 1min,
                      "Hold within which a new flow counts as placed in "
                      "time.")),
      field<P, &P::WaitObjectiveShare>(
          V::share("waitObjectiveShare", MinObjective, MaxObjective,
                   "Share of flows that shall be placed in time.")),
  };
  return table;
}

} // namespace auburnroute::state
