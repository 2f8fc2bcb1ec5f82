#include "limit_property/limited_fleet.h"

#include <algorithm>

namespace comfreyfold {

namespace {

using std::chrono::milliseconds;

constexpr const char* kServer = "s";
constexpr milliseconds kStep{5};
constexpr milliseconds kTimeout{150};
constexpr milliseconds kWindow{4000};
constexpr int kMaxDelayMs = 30;

std::vector<std::string> IssuerNames(int first, int count) {
  std::vector<std::string> out;
  for (int n = first; n < first + count; ++n) {
    out.push_back(std::to_string(n));
  }
  return out;
}

}  // namespace

LimitedFleet::LimitedFleet(int daemons, double per_second, std::uint64_t seed)
    : per_second_(per_second), random_(seed) {
  for (int n = 0; n < kIssuers + 1; ++n) {
    issuers_.push_back(
        std::make_unique<PermitIssuer>(now_ - std::chrono::seconds(60)));
  }
  for (int n = 0; n < daemons; ++n) {
    daemons_.push_back(MakeDaemon());
  }
}

std::shared_ptr<LimitedFleet::Daemon> LimitedFleet::MakeDaemon() {
  auto out = std::make_shared<Daemon>();
  out->limits.Record({kServer, {}, per_second_, {}}, now_);
  out->wallet = std::make_unique<PermitWallet>(out->limits, random_());
  out->wallet->SetIssuers(IssuerNames(0, kIssuers));
  return out;
}

void LimitedFleet::RestartDaemon(int daemon) {
  daemons_[daemon] = MakeDaemon();
}

void LimitedFleet::RestartIssuer(int issuer) {
  issuers_[issuer] = std::make_unique<PermitIssuer>(now_);
}

void LimitedFleet::SetIssuers(int daemon, int first, int count) {
  daemons_[daemon]->wallet->SetIssuers(IssuerNames(first, count));
}

milliseconds LimitedFleet::Delay() {
  return milliseconds(std::uniform_int_distribution<>(0, kMaxDelayMs)(random_));
}

bool LimitedFleet::Draw(double probability) {
  return std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

void LimitedFleet::Handle(Message message) {
  const int issuer = std::stoi(message.question.issuer);
  if (message.is_reply) {
    const auto sender = message.sender.lock();
    if (sender && message.answered) {
      sender->wallet->Apply(message.question, message.replies,
                            static_cast<int>(daemons_.size()), now_);
    } else if (sender) {
      sender->wallet->OnSilence(message.question, now_);
    }
    return;
  }
  message.is_reply = true;
  if (cut_[{message.daemon, issuer}]) {
    messages_.emplace(now_ + kTimeout, std::move(message));
    return;
  }
  message.answered = true;
  for (const auto& it : message.question.requests) {
    message.replies.push_back(issuers_[issuer]->Issue(it, per_second_, now_));
  }
  messages_.emplace(now_ + Delay(), std::move(message));
}

void LimitedFleet::Deliver() {
  while (!messages_.empty() && messages_.begin()->first <= now_) {
    auto message = std::move(messages_.begin()->second);
    messages_.erase(messages_.begin());
    Handle(std::move(message));
  }
}

void LimitedFleet::Step(int daemon, double demand) {
  auto& it = *daemons_[daemon];
  constexpr int kMaxWaiting = 20;
  if (it.waiting < kMaxWaiting && Draw(demand)) {
    ++it.waiting;
  }
  while (it.waiting > 0 && it.wallet->Take(kServer, now_)) {
    --it.waiting;
    ++it.sent;
    sent_.push_back(now_);
  }
  it.wallet->SetWanted(kServer, it.waiting, now_);
  while (auto question = it.wallet->NextQuestion(now_)) {
    Message message;
    message.daemon = daemon;
    message.sender = daemons_[daemon];
    message.question = *question;
    messages_.emplace(now_ + Delay(), std::move(message));
  }
}

void LimitedFleet::Run(milliseconds time, const std::vector<double>& demand) {
  for (const auto end = now_ + time; now_ < end; now_ += kStep) {
    Deliver();
    for (int n = 0; n < static_cast<int>(daemons_.size()); ++n) {
      Step(n, demand[n]);
    }
  }
}

int LimitedFleet::MostInWindow() const {
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t n = 0; n < sent_.size(); ++n) {
    while (sent_[n] - sent_[first] >= kWindow) {
      ++first;
    }
    most = std::max(most, n - first + 1);
  }
  return static_cast<int>(most);
}

}  // namespace comfreyfold
