#include "fleet/fleet_sync.h"

#include <algorithm>
#include <utility>

#include "core/wall_clock.h"
#include "net/repeat.h"
#include "wire/codec.h"

namespace comfreyfold {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr std::chrono::milliseconds kQueryTimeout{400};
// Time between queries of sources other than the preferred one.
constexpr std::chrono::milliseconds kFurtherQueryInterval{250};
constexpr std::chrono::milliseconds kPeerRetention{5000};
constexpr std::size_t kMaxPeersReported = 6;
// Upper bound of the age of kept state, in case a clock is wrong.
constexpr std::chrono::hours kMaxKeptAge{24};
// What a source tells at the first query.
constexpr std::chrono::milliseconds kFirstReportWindow{500};
constexpr std::chrono::milliseconds kMaxReportWindow{2000};
// Reports that arrive at the source while it answers must not be missed.
constexpr std::chrono::milliseconds kReportWindowMargin{20};

std::chrono::milliseconds AgeOf(TimePoint at) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - at);
}

// Adds those of `addresses` that are not in `out`, up to kMaxPeersReported.
void AddOthers(const std::vector<std::string>& addresses,
               const std::string& excluded,
               std::vector<std::string>& out) {
  for (const auto& it : addresses) {
    if (out.size() < kMaxPeersReported && it != excluded &&
        std::find(out.begin(), out.end(), it) == out.end()) {
      out.push_back(it);
    }
  }
}

void Append(std::vector<SuspectRun> runs, std::vector<SuspectRun>& out) {
  out.insert(out.end(), runs.begin(), runs.end());
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
  RepeatForever(fiber, "the exchange of fleet state", [this, &fiber] {
    const auto sources = sources_();
    if (!view_.config()) {
      QueryAll(fiber, sources);
    } else if (!sources.empty()) {
      QueryRound(fiber, sources);
    }
    fiber.Sleep(interval_());
  });
}

// Few further sources are asked: when the key-value service is out, the view of
// every daemon is stale, and asking them all would take more processor time
// than the requests of clients.
void FleetSync::QueryRound(Fiber& fiber,
                           const std::vector<std::string>& sources) {
  std::vector<std::string> addresses;
  if (preferred_answered_) {
    preferred_answered_ = QueryOne(fiber, sources.front());
    if (preferred_answered_ && IsFresh()) {
      return;
    }
  } else {
    addresses.push_back(sources.front());
  }
  const auto now = std::chrono::steady_clock::now();
  if (now - further_queried_at_ >= kFurtherQueryInterval) {
    further_queried_at_ = now;
    const auto further = FurtherSources(sources);
    addresses.insert(addresses.end(), further.begin(), further.end());
  }
  QueryAll(fiber, addresses);
}

// One source near the beginning of the list, where the storage daemons are, and
// one near its end, where the other daemons are.
std::vector<std::string> FleetSync::FurtherSources(
    const std::vector<std::string>& sources) {
  std::vector<std::string> out;
  const auto add = [&out, &sources](const std::string& address) {
    if (address != sources.front() &&
        std::find(out.begin(), out.end(), address) == out.end()) {
      out.push_back(address);
    }
  };
  if (!fresh_source_.empty()) {
    add(fresh_source_);
  }
  if (sources.size() > 1) {
    const auto n = next_source_++ % (sources.size() - 1);
    add(sources[1 + n]);
    add(sources[sources.size() - 1 - n]);
  }
  return out;
}

void FleetSync::QueryAll(Fiber& fiber,
                         const std::vector<std::string>& addresses) {
  struct Round {
    explicit Round(Loop& loop) : changed(loop) {}
    Condition changed;
    std::size_t ended = 0;
  };
  const auto round = std::make_shared<Round>(loop_);
  for (const auto& it : addresses) {
    loop_.Spawn([this, round, address = it](Fiber& child) {
      const bool answered = QueryOne(child, address);
      const auto sources = sources_();
      if (answered && !sources.empty() && address == sources.front()) {
        preferred_answered_ = true;
      }
      ++round->ended;
      round->changed.NotifyAll();
    });
  }
  round->changed.WaitUntil(fiber, 2 * kQueryTimeout, [&round, &addresses] {
    return round->ended == addresses.size();
  });
}

bool FleetSync::QueryOne(Fiber& fiber, const std::string& address) {
  FleetQuestion question;
  question.config_version = view_.config() ? view_.config()->version : 0;
  question.list_version = view_.storage_list().version;
  question.servers_hash = HashOf(view_.registered_servers());
  const auto queried_at = std::chrono::steady_clock::now();
  if (on_load_) {
    question.loads = view_.loads().LocalSince(loads_sent_until_, queried_at);
    question.faults = view_.faults().LocalSince(loads_sent_until_, queried_at);
    question.suspect_runs =
        view_.quarantine().LocalSince(loads_sent_until_, queried_at);
    if (quarantine_differs_) {
      Append(view_.quarantine().BlamedRuns(queried_at), question.suspect_runs);
    }
    question.loads_within = ReportWindow(address, queried_at);
    question.address = address_;
  }
  question.blamed_hash = view_.quarantine().HashOfBlamed();
  view_.limits().DropOld(queried_at);
  question.limits_hash = view_.limits().Hash();
  const auto limit_changes = view_.limits().changes();
  if (limits_differ_ || limit_changes != limits_sent_) {
    question.limits = view_.limits().All(queried_at);
  }
  HttpOptions options;
  options.connect_timeout = kQueryTimeout;
  options.idle_timeout = kQueryTimeout;
  options.total_timeout = kQueryTimeout;
  try {
    const auto reply = http_.Send(
        fiber, address, {"POST", kFleetPath, {}, Encode(question)}, options);
    if (reply.status != kOk) {
      return false;
    }
    const bool was_fresh = IsFresh();
    Apply(DecodeFleetNews(reply.body), address);
    loads_sent_until_ = queried_at;
    limits_sent_ = limit_changes;
    last_source_ = address;
    last_queried_at_ = queried_at;
    if (!was_fresh && IsFresh()) {
      fresh_source_ = address;
    }
    return true;
  } catch (const HttpFailure&) {
    return false;  // Run() queries the next source.
  } catch (const std::exception& e) {
    // Other sources may tell what can be used.
    log_.Write("fleet_news_refused", "",
               {{"peer", address}, {"reason", e.what()}});
    return false;
  }
}

std::chrono::milliseconds FleetSync::ReportWindow(const std::string& address,
                                                  TimePoint now) const {
  if (address != last_source_) {
    return kFirstReportWindow;
  }
  const auto since = std::chrono::ceil<std::chrono::milliseconds>(
      now - last_queried_at_ + kReportWindowMargin);
  return std::min(since, kMaxReportWindow);
}

void FleetSync::ApplyConfig(const FleetNews& news, const std::string& address) {
  const auto confirmed_at = std::chrono::steady_clock::now() - news.config_age;
  if (news.config_text.empty()) {
    if (view_.config() && view_.config()->version == news.config_version) {
      view_.ConfirmConfig(confirmed_at);
    }
    return;
  }
  try {
    if (view_.ApplyConfig(decode_config_(news.config_text), news.config_text,
                          confirmed_at)) {
      log_.Write("config_in_force", "",
                 {{"version", news.config_version},
                  {"age_ms", news.config_age},
                  {"source", address}});
    }
  } catch (const std::runtime_error& e) {
    log_.Write("config_refused", "",
               {{"source", address}, {"reason", e.what()}});
  }
}

// The state comes from before this start and is as old as the last word of the
// key-value service, which replaces it once it answers. Servers may have left
// or restarted since: requests name the server that they are meant for, so that
// one that took over its address does not run them.
void FleetSync::ApplyKept() {
  const auto* kept =
      kept_quorum_.Newest(view_.storage_list(), *tolerated_losses_);
  if (view_.config() || kept == nullptr) {
    return;
  }
  const auto age = std::clamp<std::chrono::milliseconds>(
      WallNow() - kept->kept_at, max_age_, kMaxKeptAge);
  FleetNews news;
  news.config_version = kept->config_version;
  news.config_text = kept->config_text;
  news.config_age = age;
  ApplyConfig(news, "disks");
  const auto now = std::chrono::steady_clock::now();
  view_.ApplyServers(kept->servers, now - age, now);
}

void FleetSync::ApplyReports(const FleetNews& news) {
  const auto now = std::chrono::steady_clock::now();
  for (const auto& it : news.loads) {
    if (view_.loads().Record(it, now, ReportSource::kAnswer) && on_load_) {
      on_load_(it);
    }
  }
  for (const auto& it : news.faults) {
    if (view_.faults().Record(it, now, ReportSource::kAnswer) && on_fault_) {
      on_fault_(it);
    }
  }
}

void FleetSync::ApplySuspectRuns(const FleetNews& news) {
  view_.RecordSuspectRuns(news.suspect_runs, ReportSource::kAnswer);
  quarantine_differs_ = news.blamed_hash != view_.quarantine().HashOfBlamed();
}

void FleetSync::RecordLimits(const std::vector<ServerLimit>& limits) {
  const auto now = std::chrono::steady_clock::now();
  bool changed = false;
  for (const auto& it : limits) {
    changed = view_.limits().Record(it, now) || changed;
  }
  if (changed && on_limits_) {
    on_limits_();
  }
}

void FleetSync::Apply(const FleetNews& news, const std::string& address) {
  const auto now = std::chrono::steady_clock::now();
  if (news.config_version > 0) {
    ApplyConfig(news, address);
  }
  if (news.servers_age.count() >= 0) {
    const auto read_at = now - news.servers_age;
    if (news.servers) {
      view_.ApplyServers(*news.servers, read_at, now);
    } else if (news.servers_hash == HashOf(view_.registered_servers())) {
      view_.ApplyServers(view_.registered_servers(), read_at, now);
    }
  }
  ApplyReports(news);
  ApplySuspectRuns(news);
  RecordLimits(news.limits);
  limits_differ_ = news.limits_hash != view_.limits().Hash();
  if (!news.daemons.empty()) {
    view_.SetClientDaemons(news.daemons);
  }
  if (news.members) {
    view_.OfferStorageList(*news.members);
  }
  if (news.kept && tolerated_losses_) {
    kept_quorum_.Add(news.disk, *news.kept);
    ApplyKept();
  }
  if (news.config_version > 0 && news.config_age < max_age_) {
    view_.ApplyRetiring(news.retiring, news.retiring_revision);
  }
}

// Returns a few daemons at a time and others each time, which is enough to find
// a path around a broken connection. A daemon needs some of other data centres,
// because it may be the only one of its own.
std::vector<std::string> FleetSync::PeersFor(const std::string& asker) {
  std::erase_if(recent_peers_, [](const auto& it) {
    return AgeOf(it.second) > kPeerRetention;
  });
  std::vector<std::string> all;
  for (const auto& [address, at] : recent_peers_) {
    if (address != asker) {
      all.push_back(address);
    }
  }
  std::vector<std::string> out;
  for (std::size_t n = 0; n < std::min(kMaxPeersReported, all.size()); ++n) {
    out.push_back(all[(next_peer_ + n) % all.size()]);
  }
  ++next_peer_;
  // What hubs tell each other comes from the peers alone, so that the addresses
  // of daemons that have gone do not circulate.
  if (!asker.empty()) {
    AddOthers(view_.client_daemons(), asker, out);
  }
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
  } else if (kept_ && question.config_version == 0) {
    news.kept = kept_();
    news.disk = disk_;
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
  news.retiring_revision = view_.retiring_revision();
  const auto now = std::chrono::steady_clock::now();
  for (const auto& it : question.loads) {
    view_.loads().Record(it, now);
  }
  for (const auto& it : question.faults) {
    view_.faults().Record(it, now);
  }
  view_.RecordSuspectRuns(question.suspect_runs, ReportSource::kLocal);
  if (!question.address.empty()) {
    recent_peers_[question.address] = now;
  }
  news.daemons = PeersFor(question.address);
  if (question.loads_within.count() > 0) {
    const auto since = now - question.loads_within;
    news.loads = view_.loads().RecordedSince(since, now);
    news.faults = view_.faults().RecordedSince(since, now);
    news.suspect_runs = view_.quarantine().RecordedSince(since, now);
  }
  news.blamed_hash = view_.quarantine().HashOfBlamed();
  if (news.blamed_hash != question.blamed_hash) {
    Append(view_.quarantine().BlamedRuns(now), news.suspect_runs);
  }
  view_.limits().DropOld(now);
  RecordLimits(question.limits);
  news.limits_hash = view_.limits().Hash();
  if (news.limits_hash != question.limits_hash) {
    news.limits = view_.limits().All(now);
  }
  exchange.Reply(kOk, "", Encode(news));
}

}  // namespace comfreyfold
