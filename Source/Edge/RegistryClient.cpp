#include "Edge/RegistryClient.h"

#include "Common/Text.h"
#include "platform/StoreCodec.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace auburnroute::edge {

using common::HttpResponse;
using fleet::RegistryFailure;
using platform::StoreCodec;

RegistryClient::RegistryClient(boost::asio::io_context &loop,
                               common::Endpoint registry,
                               fleet::RegistryReader &reader,
                               const common::Clock &clock,
                               fleet::CauseHistory &history, EventLog &log,
                               EdgeMetrics &metrics,
                               std::function<void()> onAnswer)
    : Http(loop, registry), Reader(reader), Clock(clock), History(history),
      Log(log), Metrics(metrics), OnAnswer(std::move(onAnswer)) {}

void RegistryClient::poll() {
  const auto call = Reader.nextCall(Clock.now());
  if (!call)
    return;
  Metrics.add(EdgeCounter::RegistryCalls);
  Http.get(
      StoreCodec::requestTarget(*call), call->Timeout,
      [this, call = *call](const auto &result) { onResult(call, result); });
}

void RegistryClient::onResult(const fleet::RegistryCall &call,
                              const absl::StatusOr<HttpResponse> &result) {
  if (!result.ok()) {
    onFailure(RegistryFailure::Unreachable,
              common::fromAbsl(result.status().message()));
  } else if (result->Status == HttpResponse::Gone) {
    onFailure(RegistryFailure::Compacted,
              "the requested revision is compacted");
  } else if (result->Status != HttpResponse::Ok) {
    onFailure(RegistryFailure::Refused,
              absl::StrCat("HTTP status ", result->Status, ", expected 200"));
  } else if (const auto page = StoreCodec::decode(call, result->Body);
             page.ok()) {
    reportReachability(true, "answered");
    Reader.onPage(*page, Clock.now());
  } else {
    onFailure(RegistryFailure::Malformed,
              common::fromAbsl(page.status().message()));
  }
  OnAnswer();
}

void RegistryClient::onFailure(RegistryFailure failure,
                               std::string_view reason) {
  Metrics.add(EdgeCounter::RegistryFailures);
  Reader.onFailure(failure, Clock.now());
  if (failure != RegistryFailure::Compacted)
    reportReachability(false, reason);
}

void RegistryClient::reportReachability(bool reachable,
                                        std::string_view reason) {
  if (ReportedReachable == reachable)
    return;
  ReportedReachable = reachable;
  if (!reachable)
    History.recordForHost(state::Cause::PlatformUnreachable);
  Log.write(LogEvent::Registry,
            absl::StrCat("\"reachable\":", reachable ? "true" : "false",
                         ",\"reason\":\"",
                         absl::CHexEscape(common::toAbsl(reason)), "\""));
}

} // namespace auburnroute::edge
