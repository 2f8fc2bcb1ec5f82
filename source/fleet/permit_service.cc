#include "fleet/permit_service.h"

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace comfreyfold {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
// A daemon that has not asked for this long does not count.
constexpr std::chrono::milliseconds kAskerLifetime{60000};

}  // namespace

PermitService::PermitService(FleetView& view, std::string address)
    : view_(view),
      address_(std::move(address)),
      issuer_(std::chrono::steady_clock::now()) {}

PermitNews PermitService::Answer(const PermitQuestion& question,
                                 TimePoint now) {
  askers_[question.address] = now;
  std::erase_if(askers_, [now](const auto& it) {
    return now - it.second > kAskerLifetime;
  });
  for (const auto& it : question.limits) {
    view_.limits().Record(it, now);
  }
  PermitNews out;
  out.daemons =
      static_cast<int>(std::max(askers_.size(), view_.client_daemons().size()));
  for (const auto& it : question.requests) {
    // Without a limit, the sender learns from the reply that there is none.
    if (const auto limit = view_.limits().Find(it.server_id)) {
      out.replies.push_back(issuer_.Issue(it, *limit, now));
    }
  }
  for (auto& it : view_.limits().All(now)) {
    const auto known = std::find_if(
        question.limits.begin(), question.limits.end(), [&it](const auto& n) {
          return n.server_id == it.server_id && n.started == it.started &&
                 n.per_second == it.per_second;
        });
    const auto asked = std::find_if(
        question.requests.begin(), question.requests.end(),
        [&it](const auto& n) { return n.server_id == it.server_id; });
    if (asked != question.requests.end() && known == question.limits.end()) {
      out.limits.push_back(std::move(it));
    }
  }
  return out;
}

void PermitService::Handle(const HttpRequest& request, HttpExchange& exchange) {
  const auto issuers = PermitIssuersOf(view_.storage_list());
  if (std::find(issuers.begin(), issuers.end(), address_) == issuers.end()) {
    exchange.Reply(kNotFound, "text/plain", "this daemon issues no permits\n");
    return;
  }
  try {
    exchange.Reply(kOk, "",
                   Encode(Answer(DecodePermitQuestion(request.body),
                                 std::chrono::steady_clock::now())));
  } catch (const WireError& e) {
    exchange.Reply(kBadRequest, "text/plain", e.what());
  }
}

}  // namespace comfreyfold
