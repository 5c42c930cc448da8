#pragma once

#include "State/FieldDescriptor.h"
#include "State/Settings.h"

namespace auburnroute::state {

/// The values at the top of the settings.
const FieldTable<Settings> &documentDescriptors();
/// The values of a service that are not policy.
const FieldTable<Service> &serviceDescriptors();
/// The values of a listener.
const FieldTable<Listener> &listenerDescriptors();
/// The values of a backend server.
const FieldTable<BackendServer> &backendServerDescriptors();

} // namespace auburnroute::state
