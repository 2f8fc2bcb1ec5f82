#include "fleet/permit_client.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"
#include "fleet/permit_service.h"
#include "wire/codec.h"

namespace comfreyfold {

namespace {

constexpr int kOk = 200;
// A request that waits for a permit is better sent to another server then.
constexpr std::chrono::milliseconds kTimeout{150};

}  // namespace

PermitClient::PermitClient(Loop& loop,
                           HttpClient& http,
                           FleetView& view,
                           PermitWallet& wallet,
                           std::string address,
                           std::string data_centre)
    : loop_(loop),
      http_(http),
      view_(view),
      wallet_(wallet),
      address_(std::move(address)),
      data_centre_(std::move(data_centre)) {
  view_.OnChange([this] { wallet_.SetIssuers(Issuers()); });
}

// Without an issuer of their own data centre, daemons begin with different
// ones.
std::vector<std::string> PermitClient::Issuers() const {
  const auto& list = view_.storage_list();
  auto out = PermitIssuersOf(list);
  if (out.empty()) {
    return out;
  }
  const auto first = Hash64(address_) % out.size();
  std::rotate(out.begin(), out.begin() + static_cast<std::ptrdiff_t>(first),
              out.end());
  const auto members = list.AllMembers();
  std::stable_partition(out.begin(), out.end(), [&](const auto& address) {
    return std::any_of(members.begin(), members.end(), [&](const auto& it) {
      return it.address == address && it.data_centre == data_centre_;
    });
  });
  return out;
}

void PermitClient::Ask() {
  for (;;) {
    auto question = wallet_.NextQuestion(std::chrono::steady_clock::now());
    if (!question) {
      return;
    }
    loop_.Spawn([this, question = std::move(*question)](Fiber& fiber) {
      AskOne(fiber, question);
    });
  }
}

void PermitClient::AskOne(Fiber& fiber,
                          const PermitWallet::Question& question) {
  PermitQuestion message;
  message.requests = question.requests;
  message.address = address_;
  for (auto& it : view_.limits().All(std::chrono::steady_clock::now())) {
    const bool asked = std::any_of(
        question.requests.begin(), question.requests.end(),
        [&it](const auto& n) { return n.server_id == it.server_id; });
    if (asked) {
      message.limits.push_back(std::move(it));
    }
  }
  HttpOptions options;
  options.connect_timeout = kTimeout;
  options.idle_timeout = kTimeout;
  options.total_timeout = kTimeout;
  bool answered = false;
  try {
    const auto reply =
        http_.Send(fiber, question.issuer,
                   {"POST", kPermitPath, {}, Encode(message)}, options);
    if (reply.status == kOk) {
      const auto news = DecodePermitNews(reply.body);
      const auto now = std::chrono::steady_clock::now();
      bool changed = false;
      for (const auto& it : news.limits) {
        changed = view_.limits().Record(it, now) || changed;
      }
      wallet_.Apply(question, news.replies, news.daemons, now);
      answered = true;
      if (changed && on_limits_) {
        on_limits_();
      }
    }
  } catch (const std::exception&) {
    // Another issuer, or the daemon's own part, has to do.
  }
  if (!answered) {
    wallet_.OnSilence(question, std::chrono::steady_clock::now());
  }
  if (on_change_) {
    on_change_();
  }
}

}  // namespace comfreyfold
