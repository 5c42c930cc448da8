#include "State/SettingsReference.h"

#include "State/DaemonDescriptors.h"
#include "State/PolicyDescriptors.h"
#include "State/SettingsDescriptors.h"

#include "Common/Text.h"

#include "absl/strings/str_cat.h"

namespace auburnroute::state {

using common::toAbsl;

namespace {

template <class Target>
std::string defaultOf(const FieldDescriptor<Target> &field) {
  if (field.Value.IsRequired)
    return "required";
  const auto value = field.defaultValue();
  const auto *endpoint = std::get_if<common::Endpoint>(&value);
  const auto text = field.Value.format(value);
  if (text.empty() || (endpoint != nullptr && endpoint->Port == 0))
    return "none";
  return absl::StrCat("`", text, "`");
}

template <class Target>
std::string table(std::string_view title, std::string_view place,
                  const FieldTable<Target> &fields) {
  auto text =
      absl::StrCat("### ", toAbsl(title), "\n\n",
                   "| Key | Type | Unit | Range | Default | Where | Meaning "
                   "|\n|---|---|---|---|---|---|---|\n");
  for (const auto &it : fields)
    absl::StrAppend(&text, "| `", toAbsl(it.Value.Key), "` | ",
                    toAbsl(toString(it.Value.Type)), " | ",
                    toAbsl(it.Value.Unit), " | ", it.Value.range(), " | ",
                    defaultOf(it), " | ", toAbsl(place), " | ",
                    toAbsl(it.Value.Doc), " |\n");
  return text;
}

} // namespace

std::vector<std::string> settingsReference() {
  return {
      table("Document", "top", documentDescriptors()),
      table("Policy", "defaults, zone, owner, service", policyDescriptors()),
      table("Service", "service", serviceDescriptors()),
      table("Listener", "`listeners` of a service", listenerDescriptors()),
      table("Backend server", "`backendServers` of a service",
            backendServerDescriptors()),
      table("Daemon", "local file of a host", daemonDescriptors()),
  };
}

} // namespace auburnroute::state
