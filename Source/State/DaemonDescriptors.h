#pragma once

#include "State/DaemonSettings.h"
#include "State/FieldDescriptor.h"

namespace auburnroute::state {

/// The values of a daemon's local settings file.
const FieldTable<DaemonSettings> &daemonDescriptors();

} // namespace auburnroute::state
