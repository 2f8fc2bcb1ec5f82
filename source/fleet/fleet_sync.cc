#include "fleet/fleet_sync.h"

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace comfreyfold {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
// If the source reads the key-value service once a second, this interval
// updates every daemon well within the two seconds that deployments allow.
constexpr std::chrono::milliseconds kQueryInterval{250};
constexpr std::chrono::milliseconds kQueryTimeout{400};
constexpr std::chrono::milliseconds kPeerRetention{5000};
constexpr std::size_t kMaxPeersReported = 6;
// Longer than kQueryInterval, so that no load is missed between two queries.
constexpr std::chrono::milliseconds kLoadWindow{350};

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

bool FleetSync::IsFresh() const {
  return IsFresherThan(max_age_);
}

bool FleetSync::IsFresherThan(std::chrono::milliseconds age) const {
  return view_.config() && AgeOf(view_.config_confirmed_at()) < age &&
         AgeOf(view_.servers_read_at()) < age &&
         view_.storage_list().version > 0;
}

void FleetSync::Run(Fiber& fiber) {
  for (;;) {
    for (const auto& it : sources_()) {
      if (QueryOne(fiber, it) && IsFresh()) {
        break;
      }
    }
    fiber.Sleep(kQueryInterval);
  }
}

bool FleetSync::QueryOne(Fiber& fiber, const std::string& address) {
  FleetQuestion question;
  question.config_version = view_.config() ? view_.config()->version : 0;
  question.list_version = view_.storage_list().version;
  question.servers_hash = HashOf(view_.registered_servers());
  const auto queried_at = std::chrono::steady_clock::now();
  if (on_load_) {
    question.loads = view_.loads().ReportsSince(loads_sent_until_, queried_at);
    question.loads_within = kLoadWindow;
    question.address = address_;
  }
  HttpOptions options;
  options.connect_timeout = kQueryTimeout;
  options.idle_timeout = kQueryTimeout;
  try {
    const auto reply = http_.Send(
        fiber, address, {"POST", kFleetPath, {}, Encode(question)}, options);
    if (reply.status != kOk) {
      return false;
    }
    Apply(DecodeFleetNews(reply.body), address);
    loads_sent_until_ = queried_at;
    return true;
  } catch (const HttpFailure&) {
    return false;  // Run() queries the next source.
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
    } else if (news.servers_hash == HashOf(view_.registered_servers())) {
      view_.ApplyServers(view_.registered_servers(), read_at, now);
    }
  }
  for (const auto& it : news.loads) {
    if (view_.loads().Record(it, now) && on_load_) {
      on_load_(it);
    }
  }
  if (!news.daemons.empty()) {
    view_.SetClientDaemons(news.daemons);
  }
  if (news.members) {
    view_.ApplyStorageList(*news.members);
  }
  if (news.config_age < max_age_) {
    view_.ApplyRetiring(news.retiring);
  }
}

// Returns a few daemons at a time and others each time, which is enough to find
// a path around a broken connection.
std::vector<std::string> FleetSync::RecentPeers(const std::string& excluded) {
  std::erase_if(recent_peers_, [](const auto& it) {
    return AgeOf(it.second) > kPeerRetention;
  });
  std::vector<std::string> all;
  for (const auto& [address, at] : recent_peers_) {
    if (address != excluded) {
      all.push_back(address);
    }
  }
  std::vector<std::string> out;
  for (std::size_t n = 0; n < std::min(kMaxPeersReported, all.size()); ++n) {
    out.push_back(all[(next_peer_ + n) % all.size()]);
  }
  ++next_peer_;
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
    news.servers_age = AgeOf(view_.servers_read_at());
    news.servers_hash = HashOf(view_.registered_servers());
    if (news.servers_hash != question.servers_hash) {
      news.servers = view_.registered_servers();
    }
  }
  if (view_.storage_list().version > question.list_version) {
    news.members = view_.storage_list();
  }
  news.retiring = view_.retiring();
  const auto now = std::chrono::steady_clock::now();
  for (const auto& it : question.loads) {
    view_.loads().Record(it, now);
  }
  if (!question.address.empty()) {
    recent_peers_[question.address] = now;
    news.daemons = RecentPeers(question.address);
  }
  if (question.loads_within.count() > 0) {
    news.loads = view_.loads().ReportsSince(now - question.loads_within, now);
  }
  exchange.Reply(kOk, "", Encode(news));
}

}  // namespace comfreyfold
