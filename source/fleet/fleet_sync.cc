#include "fleet/fleet_sync.h"

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace comfreyfold {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
// With a reading a second at the source this keeps every daemon well within
// the two seconds that the deployments grant.
constexpr std::chrono::milliseconds kAskEvery{250};
constexpr std::chrono::milliseconds kAskTimeout{400};
constexpr std::chrono::milliseconds kAskerForgotten{5000};
constexpr std::size_t kAskersTold = 6;
// What was told since the question before, with some room.
constexpr std::chrono::milliseconds kLoadsWithin{350};

std::chrono::milliseconds AgeOf(TimePoint at) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - at);
}

}  // namespace

FleetSync::FleetSync(
    Loop& loop,
    HttpClient& http,
    FleetView& view,
    DecisionLog& log,
    std::function<RoutingConfig(const std::string&)> decode_config)
    : loop_(loop),
      http_(http),
      view_(view),
      log_(log),
      decode_config_(std::move(decode_config)) {}

bool FleetSync::Fresh() const {
  return FresherThan(stale_after_);
}

bool FleetSync::FresherThan(std::chrono::milliseconds age) const {
  return view_.config() && AgeOf(view_.config_confirmed_at()) < age &&
         AgeOf(view_.listed_at()) < age && view_.storage().version > 0;
}

void FleetSync::Run(Fiber& fiber) {
  for (;;) {
    for (const auto& it : sources_()) {
      if (AskOne(fiber, it) && Fresh()) {
        break;
      }
    }
    fiber.Sleep(kAskEvery);
  }
}

bool FleetSync::AskOne(Fiber& fiber, const std::string& address) {
  FleetQuestion question;
  question.config_version = view_.config() ? view_.config()->version : 0;
  question.list_version = view_.storage().version;
  question.servers_hash = HashOf(view_.listed());
  const auto asked_at = std::chrono::steady_clock::now();
  if (heard_) {
    question.loads = view_.loads().ReportsSince(told_until_, asked_at);
    question.loads_within = kLoadsWithin;
    question.address = address_;
  }
  HttpOptions options;
  options.connect_timeout = kAskTimeout;
  options.idle_timeout = kAskTimeout;
  try {
    const auto reply = http_.Send(
        fiber, address, {"POST", kFleetPath, {}, Encode(question)}, options);
    if (reply.status != kOk) {
      return false;
    }
    Apply(DecodeFleetNews(reply.body), address);
    told_until_ = asked_at;
    return true;
  } catch (const HttpFailure&) {
    return false;  // The next source is asked; the caller logs staleness.
  } catch (const WireError& e) {
    log_.Write("fleet_news_refused", "",
               {{"peer", address}, {"reason", e.what()}});
    return false;
  }
}

void FleetSync::Apply(const FleetNews& news, const std::string& address) {
  const auto now = std::chrono::steady_clock::now();
  if (news.config_version > 0) {
    const auto confirmed_at = now - news.config_age;
    if (!news.config_text.empty()) {
      try {
        if (view_.ApplyConfig(decode_config_(news.config_text),
                              news.config_text, confirmed_at)) {
          log_.Write("config_in_force", "",
                     {{"version", news.config_version},
                      {"age_ms", news.config_age},
                      {"source", address}});
        }
      } catch (const std::runtime_error& e) {
        log_.Write("config_refused", "",
                   {{"source", address}, {"reason", e.what()}});
      }
    } else if (view_.config() &&
               view_.config()->version == news.config_version) {
      view_.ConfirmConfig(confirmed_at);
    }
  }
  if (news.servers_age.count() >= 0) {
    const auto read_at = now - news.servers_age;
    if (news.servers) {
      view_.ApplyServers(*news.servers, read_at, now);
    } else if (news.servers_hash == HashOf(view_.listed())) {
      view_.ApplyServers(view_.listed(), read_at, now);
    }
  }
  for (const auto& it : news.loads) {
    if (view_.loads().Record(it, now) && heard_) {
      heard_(it);
    }
  }
  if (!news.daemons.empty()) {
    view_.NoteDaemons(news.daemons);
  }
  if (news.members) {
    view_.ApplyStorage(*news.members);
  }
  if (news.config_age < stale_after_) {
    view_.ApplyRetiring(news.retiring);
  }
}

// A few at a time, others each time: enough to find a way round a cut.
std::vector<std::string> FleetSync::SomeAskers(const std::string& but) {
  std::erase_if(askers_, [](const auto& it) {
    return AgeOf(it.second) > kAskerForgotten;
  });
  std::vector<std::string> all;
  for (const auto& [address, at] : askers_) {
    if (address != but) {
      all.push_back(address);
    }
  }
  std::vector<std::string> out;
  for (std::size_t n = 0; n < std::min(kAskersTold, all.size()); ++n) {
    out.push_back(all[(next_asker_ + n) % all.size()]);
  }
  ++next_asker_;
  return out;
}

void FleetSync::Handle(const HttpRequest& request, HttpExchange& exchange) {
  FleetQuestion question;
  try {
    question = DecodeFleetQuestion(request.body);
  } catch (const WireError& e) {
    exchange.Reply(kBadRequest, "text/plain", e.what());
    return;
  }
  FleetNews news;
  if (view_.config()) {
    news.config_version = view_.config()->version;
    news.config_age = AgeOf(view_.config_confirmed_at());
    if (news.config_version > question.config_version) {
      news.config_text = view_.config_text();
    }
  }
  if (view_.servers().known()) {
    news.servers_age = AgeOf(view_.listed_at());
    news.servers_hash = HashOf(view_.listed());
    if (news.servers_hash != question.servers_hash) {
      news.servers = view_.listed();
    }
  }
  if (view_.storage().version > question.list_version) {
    news.members = view_.storage();
  }
  news.retiring = view_.retiring();
  const auto now = std::chrono::steady_clock::now();
  for (const auto& it : question.loads) {
    view_.loads().Record(it, now);
  }
  if (!question.address.empty()) {
    askers_[question.address] = now;
    news.daemons = SomeAskers(question.address);
  }
  if (question.loads_within.count() > 0) {
    news.loads = view_.loads().ReportsSince(now - question.loads_within, now);
  }
  exchange.Reply(kOk, "", Encode(news));
}

}  // namespace comfreyfold
