#pragma once

#include "State/FieldDescriptor.h"
#include "State/Settings.h"

namespace auburnroute::state {

/// The policy values, which every layer of the settings may set.
const FieldTable<ServicePolicy> &policyDescriptors();

} // namespace auburnroute::state
