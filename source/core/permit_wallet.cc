#include "core/permit_wallet.h"

#include <algorithm>
#include <set>
#include <utility>

namespace comfreyfold {

namespace {

// Usual time until an issuer has replied.
constexpr std::chrono::milliseconds kReplyTime{10};
// An issuer that did not reply is asked again after this time.
constexpr std::chrono::milliseconds kSilentTime{300};
// Used if an issuer's reply leaves out a server.
constexpr std::chrono::milliseconds kMinRetryTime{50};
// A daemon whose questions are not answered for this long uses a part of the
// limits on its own.
constexpr std::chrono::milliseconds kAloneAfter{1000};
// The issuers of the part that this daemon cannot get may still issue it to
// others.
constexpr int kAloneDivisor = 2;
// Assumed number of daemons until an issuer tells it.
constexpr int kUnknownDaemons = 32;
constexpr std::size_t kServersBeforeCleanup = 4096;

std::chrono::milliseconds CeilMs(TimePoint::duration time) {
  return std::chrono::ceil<std::chrono::milliseconds>(time);
}

}  // namespace

void PermitWallet::SetIssuers(std::vector<std::string> issuers) {
  issuers_ = std::move(issuers);
}

void PermitWallet::DropExpired(Server& server, TimePoint now) {
  std::erase_if(server.permits,
                [now](const auto& it) { return it.expires_at <= now; });
}

bool PermitWallet::is_alone(TimePoint now) const {
  return unanswered_since_ && now - *unanswered_since_ >= kAloneAfter;
}

// Daemons that lose the issuers at the same time would otherwise all send at
// the same time.
double PermitWallet::DrawAloneFactor() {
  return std::uniform_real_distribution<>(0.5, 1.25)(random_);
}

PermitWallet::Server& PermitWallet::EntryOf(const std::string& server_id) {
  const auto [it, inserted] = servers_.try_emplace(server_id);
  if (inserted) {
    it->second.alone_factor = DrawAloneFactor();
  }
  return it->second;
}

bool PermitWallet::IsSilenceRecent(TimePoint now) const {
  return issuers_.empty() || now - silent_at_ < kAloneAfter;
}

TimePoint PermitWallet::AloneAt(const std::string& server_id,
                                const Server& server) const {
  const auto limit = limits_.Find(server_id).value_or(0);
  const int daemons = daemons_ > 0 ? daemons_ : kUnknownDaemons;
  const auto issuers = std::max<std::size_t>(1, issuers_.size());
  const std::chrono::duration<double> interval(kAloneDivisor * daemons *
                                               static_cast<double>(issuers) /
                                               std::max(limit, kMinServerRate));
  // A daemon that has just become alone may still have used permits.
  const auto from = std::max(server.last_used_alone,
                             unanswered_since_.value_or(kDistantPast));
  return from + std::chrono::duration_cast<TimePoint::duration>(
                    interval * server.alone_factor);
}

bool PermitWallet::Take(const std::string& server_id, TimePoint now) {
  auto& server = EntryOf(server_id);
  DropExpired(server, now);
  if (!server.permits.empty() && server.permits.front().valid_from <= now) {
    server.permits.pop_front();
  } else if (is_alone(now) && AloneAt(server_id, server) <= now) {
    server.last_used_alone = now;
    server.alone_factor = DrawAloneFactor();
  } else {
    return false;
  }
  ++server.used;
  return true;
}

bool PermitWallet::MayAsk(const Server& server,
                          const std::string& issuer,
                          TimePoint now) const {
  const auto silent = silent_until_.find(issuer);
  if (silent != silent_until_.end() && now < silent->second) {
    return false;
  }
  const auto it = server.retry_at.find(issuer);
  return it == server.retry_at.end() || it->second <= now;
}

bool PermitWallet::CanAsk(const Server& server, TimePoint now) const {
  return std::any_of(issuers_.begin(), issuers_.end(),
                     [&](const auto& it) { return MayAsk(server, it, now); });
}

std::optional<std::chrono::milliseconds> PermitWallet::WaitFor(
    const std::string& server_id,
    int claims,
    TimePoint now) const {
  static const Server unused;
  const auto it = servers_.find(server_id);
  const auto& server = it == servers_.end() ? unused : it->second;
  int ahead = claims;
  for (const auto& permit : server.permits) {
    if (permit.expires_at > now && ahead-- == 0) {
      return std::max(std::chrono::milliseconds(0),
                      CeilMs(permit.valid_from - now));
    }
  }
  // Silent issuers are asked one after the other without a pause.
  if (IsSilenceRecent(now) && is_alone(now) &&
      AloneAt(server_id, server) <= now) {
    return std::chrono::milliseconds(0);
  }
  if (ahead < server.asked || CanAsk(server, now)) {
    return kReplyTime;
  }
  return std::nullopt;
}

TimePoint PermitWallet::RetryAt(const std::string& server_id,
                                TimePoint now) const {
  const auto server = servers_.find(server_id);
  if (server == servers_.end()) {
    return now;
  }
  auto out = TimePoint::max();
  for (const auto& it : issuers_) {
    auto at = now;
    const auto silent = silent_until_.find(it);
    if (silent != silent_until_.end()) {
      at = std::max(at, silent->second);
    }
    const auto retry = server->second.retry_at.find(it);
    if (retry != server->second.retry_at.end()) {
      at = std::max(at, retry->second);
    }
    out = std::min(out, at);
  }
  if (is_alone(now)) {
    out = std::min(out, AloneAt(server_id, server->second));
  }
  return out == TimePoint::max() ? now + kAloneAfter : out;
}

void PermitWallet::SetWanted(const std::string& server_id,
                             int wanted,
                             TimePoint now) {
  if (issuers_.empty() && !unanswered_since_) {
    unanswered_since_ = now;
  }
  const auto it = servers_.find(server_id);
  if (it == servers_.end() && wanted == 0) {
    return;
  }
  Forget(now);
  auto& server = EntryOf(server_id);
  DropExpired(server, now);
  server.wanted = wanted;
}

bool PermitWallet::HasWants(TimePoint now) const {
  return std::any_of(issuers_.begin(), issuers_.end(), [&](const auto& issuer) {
    const auto busy = busy_.find(issuer);
    if (busy != busy_.end() && busy->second) {
      return false;
    }
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& it) {
      const auto& server = it.second;
      return server.wanted >
                 static_cast<int>(server.permits.size()) + server.asked &&
             MayAsk(server, issuer, now);
    });
  });
}

std::optional<PermitWallet::Question> PermitWallet::NextQuestion(
    TimePoint now) {
  for (const auto& issuer : issuers_) {
    if (busy_[issuer]) {
      continue;
    }
    Question out;
    out.issuer = issuer;
    for (auto& [id, server] : servers_) {
      DropExpired(server, now);
      const int missing = server.wanted -
                          static_cast<int>(server.permits.size()) -
                          server.asked;
      if (missing > 0 && MayAsk(server, issuer, now)) {
        server.asked += missing;
        out.requests.push_back({id, missing});
      }
    }
    if (!out.requests.empty()) {
      busy_[issuer] = true;
      if (!unanswered_since_) {
        unanswered_since_ = now;
      }
      return out;
    }
  }
  return std::nullopt;
}

void PermitWallet::Apply(const Question& question,
                         const std::vector<PermitReply>& replies,
                         int daemons,
                         TimePoint now) {
  busy_[question.issuer] = false;
  silent_until_.erase(question.issuer);
  unanswered_since_.reset();
  daemons_ = std::max(1, daemons);
  std::set<std::string> asked;
  for (const auto& it : question.requests) {
    auto& server = EntryOf(it.server_id);
    server.asked -= it.wanted;
    server.retry_at[question.issuer] = now + kMinRetryTime;
    asked.insert(it.server_id);
  }
  for (const auto& it : replies) {
    if (asked.count(it.server_id) == 0) {
      continue;
    }
    auto& server = EntryOf(it.server_id);
    for (const auto& valid_in : it.valid_in) {
      const auto valid_from = now + valid_in;
      server.permits.push_back({valid_from, valid_from + kPermitLifetime});
    }
    std::sort(server.permits.begin(), server.permits.end(),
              [](const auto& a, const auto& b) {
                return a.valid_from < b.valid_from;
              });
    server.retry_at[question.issuer] = now + it.retry_in;
  }
}

void PermitWallet::OnSilence(const Question& question, TimePoint now) {
  busy_[question.issuer] = false;
  silent_until_[question.issuer] = now + kSilentTime;
  silent_at_ = now;
  for (const auto& it : question.requests) {
    EntryOf(it.server_id).asked -= it.wanted;
  }
}

std::map<std::string, double> PermitWallet::Held() const {
  std::map<std::string, double> out;
  for (const auto& [id, it] : servers_) {
    out[id] = static_cast<double>(it.permits.size());
  }
  return out;
}

std::map<std::string, double> PermitWallet::Used() const {
  std::map<std::string, double> out;
  for (const auto& [id, it] : servers_) {
    out[id] = static_cast<double>(it.used);
  }
  return out;
}

void PermitWallet::Forget(TimePoint now) {
  if (servers_.size() < kServersBeforeCleanup) {
    return;
  }
  std::erase_if(servers_, [this, now](const auto& it) {
    const auto& permits = it.second.permits;
    const bool is_unused =
        it.second.asked == 0 &&
        (permits.empty() || permits.back().expires_at <= now);
    return is_unused && !limits_.Find(it.first);
  });
}

}  // namespace comfreyfold
