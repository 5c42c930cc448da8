#pragma once

#include "StandIns/HttpService.h"
#include "StandIns/PlatformStore.h"

namespace auburnroute::standins {

/// Adds to \p service the HTTP interface of the platform (GET /settings,
/// GET /hosts) and the endpoints for tests (POST /control/..., GET /counts).
void addPlatformRoutes(HttpService &service, PlatformStore &store);

} // namespace auburnroute::standins
