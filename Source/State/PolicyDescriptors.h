#pragma once

#include "State/FieldDescriptor.h"
#include "State/Settings.h"

namespace auburnroute::state {

/// The policy values, which may stand in every layer of the settings.
const FieldTable<ServicePolicy> &policyDescriptors();

} // namespace auburnroute::state
