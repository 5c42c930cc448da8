#pragma once

#include <string>
#include <vector>

namespace auburnroute::state {

/// Tables of docs/settings.md in Markdown, written from the descriptors: the
/// document, policy, service, listener, backend server and daemon values.
/// Each is a heading and one row per key with type, unit, range, default,
/// layers and meaning.
std::vector<std::string> settingsReference();

} // namespace auburnroute::state
