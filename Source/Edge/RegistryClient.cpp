#include "Edge/RegistryClient.h"

#include "Common/Text.h"
#include "platform/StoreCodec.h"

#include "absl/strings/str_cat.h"

namespace auburnroute::edge {

using common::HttpResponse;
using fleet::RegistryFailure;
using platform::StoreCodec;

namespace {

/// Limit of the reason in a log line.
constexpr std::size_t MaxReasonBytes = 200;

} // namespace

RegistryClient::RegistryClient(boost::asio::io_context &loop,
                               common::Endpoint registry,
                               fleet::RegistryReader &reader,
                               const common::Clock &clock,
                               fleet::CauseHistory &history, EventLog &log,
                               EventRecorder &recorder,
                               std::function<void()> onAnswer)
    : Http(loop, registry), Reader(reader), Clock(clock), History(history),
      Log(log), Recorder(recorder), Metrics(recorder.metrics()),
      OnAnswer(std::move(onAnswer)) {}

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
    onFailure(absl::IsResourceExhausted(result.status())
                  ? RegistryFailure::TooLarge
                  : RegistryFailure::Unreachable,
              common::fromAbsl(result.status().message()));
  } else if (const auto era = StoreCodec::eraOf(*result); !era.ok()) {
    onFailure(RegistryFailure::Malformed,
              common::fromAbsl(era.status().message()));
  } else {
    Reader.onEra(*era);
    if (result->Status == HttpResponse::Gone) {
      reportRead(call, result->Status, *era, 0, 0, 0);
      onFailure(RegistryFailure::Compacted,
                "the requested revision is compacted");
    } else if (result->Status != HttpResponse::Ok) {
      onFailure(RegistryFailure::Refused,
                absl::StrCat("HTTP status ", result->Status, ", expected 200"));
    } else {
      onBody(call, *era, result->Body);
    }
  }
  OnAnswer();
}

void RegistryClient::onBody(const fleet::RegistryCall &call, std::uint64_t era,
                            std::string_view body) {
  auto page = StoreCodec::decode(call, body);
  if (!page.ok()) {
    onFailure(RegistryFailure::Malformed,
              common::fromAbsl(page.status().message()));
    return;
  }
  page->Era = era;
  reportReachability(true, "answered");
  for (const auto &it : page->Rejected)
    Recorder.recordRejectedEntry(it);
  const auto outdated = Reader.view().outdated();
  if (Reader.onPage(*page, Clock.now()) == RegistryFailure::Malformed)
    reportFailure("a page of the list has no key after which the next begins");
  const auto entries = page->Servers.size() + page->Removed.size() +
                       page->Evacuations.size() + (page->Configuration ? 1 : 0);
  if (call.Kind == fleet::RegistryCallKind::List || entries != 0)
    reportRead(call, HttpResponse::Ok, era, page->Revision, entries,
               Reader.view().outdated() - outdated);
}

void RegistryClient::reportRead(const fleet::RegistryCall &call, int status,
                                std::uint64_t era, std::uint64_t revision,
                                std::size_t entries, std::uint64_t outdated) {
  const bool isList = call.Kind == fleet::RegistryCallKind::List;
  if (isList)
    Metrics.add(EdgeCounter::RegistryLists);
  if (Log.tryAdmit(LogEvent::RegistryRead))
    Log.write(LogEvent::RegistryRead,
              absl::StrCat("\"call\":\"", isList ? "list" : "watch",
                           "\",\"after\":", call.Revision,
                           ",\"status\":", status, ",\"era\":", era,
                           ",\"revision\":", revision, ",\"entries\":", entries,
                           ",\"outdated\":", outdated));
}

void RegistryClient::onFailure(RegistryFailure failure,
                               std::string_view reason) {
  Reader.onFailure(failure, Clock.now());
  switch (failure) {
  case RegistryFailure::Compacted:
    Metrics.add(EdgeCounter::RegistryFailures);
    return;
  case RegistryFailure::TooLarge:
    Metrics.add(EdgeCounter::RegistryFailures);
    if (Log.tryAdmit(LogEvent::Registry))
      logReachability(true, reason);
    return;
  default:
    reportFailure(reason);
  }
}

void RegistryClient::reportFailure(std::string_view reason) {
  Metrics.add(EdgeCounter::RegistryFailures);
  reportReachability(false, reason);
}

void RegistryClient::reportReachability(bool reachable,
                                        std::string_view reason) {
  if (ReportedReachable == reachable)
    return;
  ReportedReachable = reachable;
  if (!reachable)
    History.recordForHost(state::Cause::PlatformUnreachable);
  logReachability(reachable, reason);
}

void RegistryClient::logReachability(bool reachable, std::string_view reason) {
  Log.write(
      LogEvent::Registry,
      absl::StrCat("\"reachable\":", reachable ? "true" : "false",
                   ",\"reason\":", EventLog::quoted(reason, MaxReasonBytes)));
}

} // namespace auburnroute::edge
