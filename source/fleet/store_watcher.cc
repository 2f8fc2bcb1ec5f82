#include "fleet/store_watcher.h"

#include <algorithm>
#include <utility>

namespace comfreyfold {

namespace {

// Watches are restarted at this interval, so that a connection that went silent
// without a reset cannot hide a change for longer.
constexpr std::chrono::milliseconds kWatchTime{1000};
constexpr std::chrono::milliseconds kListWatchTime{20000};
constexpr std::chrono::milliseconds kMinBackoff{100};
// Requests are billed even if they fail, so they are repeated rarely while the
// service is down.
constexpr std::chrono::milliseconds kMaxBackoff{700};
constexpr std::chrono::milliseconds kConditionPollInterval{100};

}  // namespace

StoreWatcher::StoreWatcher(Loop& loop,
                           KvStore& store,
                           FleetView& view,
                           DecisionLog& log,
                           StoreLayout layout,
                           std::chrono::milliseconds read_interval)
    : loop_(loop),
      store_(store),
      view_(view),
      log_(log),
      layout_(std::move(layout)),
      read_interval_(read_interval) {}

void StoreWatcher::Start() {
  loop_.Spawn([this](Fiber& fiber) { WatchOperatorKeys(fiber); });
  loop_.Spawn([this](Fiber& fiber) { WatchStorageList(fiber); });
  loop_.Spawn([this](Fiber& fiber) { PollServers(fiber); });
}

void StoreWatcher::RecordReachable(bool reachable, const std::string& reason) {
  if (reachable != reachable_) {
    reachable_ = reachable;
    log_.Write(reachable ? "store_regained" : "store_lost", "",
               {{"reason", reason}});
  }
}

std::chrono::milliseconds StoreWatcher::Backoff(int failures) const {
  return std::min(kMaxBackoff, kMinBackoff * (1 << std::min(failures, 4)));
}

void StoreWatcher::WatchPrefix(
    Fiber& fiber,
    const std::string& prefix,
    std::chrono::milliseconds watch_time,
    const std::function<bool()>& condition,
    const std::function<std::int64_t()>& read,
    const std::function<void(TimePoint)>& confirmed) {
  int failures = 0;
  std::int64_t revision = 0;  // 0 means to read before watching.
  for (;;) {
    if (condition && !condition()) {
      revision = 0;
      fiber.Sleep(kConditionPollInterval);
      continue;
    }
    try {
      if (revision == 0) {
        revision = read();
      }
      const auto requested_at = std::chrono::steady_clock::now();
      bool changed = false;
      store_.Watch(fiber, prefix, revision + 1, watch_time,
                   [&changed](std::int64_t) { changed = true; });
      if (changed) {
        revision = 0;
      } else {
        // The service reports that nothing changed only at the end of the wait.
        confirmed(requested_at + watch_time);
      }
      failures = 0;
      RecordReachable(true, "");
    } catch (const KvCompacted&) {
      revision = 0;
    } catch (const std::exception& e) {
      // Whatever a foreign value causes must not end the coroutine: the daemon
      // would go on with what it knew.
      revision = 0;
      RecordReachable(false, e.what());
      fiber.Sleep(Backoff(failures++));
    }
  }
}

void StoreWatcher::WatchOperatorKeys(Fiber& fiber) {
  WatchPrefix(
      fiber, layout_.operator_prefix, kWatchTime, read_condition_,
      [this, &fiber] { return ReadOperatorKeys(fiber); },
      [this](TimePoint at) { view_.ConfirmConfig(at); });
}

std::int64_t StoreWatcher::ReadOperatorKeys(Fiber& fiber) {
  const auto requested_at = std::chrono::steady_clock::now();
  const auto range = store_.Prefix(fiber, layout_.operator_prefix);
  for (const auto& it : range.items) {
    if (it.key != layout_.config_key) {
      continue;
    }
    try {
      auto config = layout_.decode_config(it.value);
      const auto version = config.version;
      if (view_.ApplyConfig(std::move(config), it.value, requested_at)) {
        log_.Write("config_in_force", "",
                   {{"version", version},
                    {"revision", it.mod_revision},
                    {"source", "store"}});
      }
    } catch (const std::exception& e) {
      log_.Write("config_refused", "",
                 {{"revision", it.mod_revision}, {"reason", e.what()}});
    }
  }
  if (on_operator_keys_) {
    on_operator_keys_(range);
  }
  return range.revision;
}

void StoreWatcher::WatchStorageList(Fiber& fiber) {
  // The watch time may be long here, because storage daemons report a newer
  // list themselves.
  WatchPrefix(
      fiber, layout_.storage_list_key, kListWatchTime, list_read_condition_,
      [this, &fiber] { return ReadStorageList(fiber); }, [](TimePoint) {});
}

std::int64_t StoreWatcher::ReadStorageList(Fiber& fiber) {
  const auto range = store_.Prefix(fiber, layout_.storage_list_key);
  for (const auto& it : range.items) {
    try {
      view_.OfferStorageList(layout_.decode_storage_list(it.value));
    } catch (const std::exception& e) {
      log_.Write("storage_list_refused", "",
                 {{"revision", it.mod_revision}, {"reason", e.what()}});
    }
  }
  return range.revision;
}

void StoreWatcher::PollServers(Fiber& fiber) {
  int failures = 0;
  for (;;) {
    if (read_condition_ && !read_condition_()) {
      fiber.Sleep(kConditionPollInterval);
      continue;
    }
    try {
      ReadServersOnce(fiber);
      failures = 0;
      RecordReachable(true, "");
      fiber.Sleep(read_interval_);
    } catch (const std::exception& e) {
      view_.RegistryLost();
      RecordReachable(false, e.what());
      fiber.Sleep(Backoff(failures++));
    }
  }
}

void StoreWatcher::ReadServersOnce(Fiber& fiber) {
  const auto requested_at = std::chrono::steady_clock::now();
  const auto range = store_.Prefix(fiber, layout_.servers_prefix);
  std::vector<BackendServer> servers;
  std::set<std::string> malformed;
  for (const auto& it : range.items) {
    try {
      servers.push_back(layout_.decode_server(it.key, it.value));
    } catch (const std::exception& e) {
      malformed.insert(it.key);
      if (malformed_keys_.count(it.key) == 0) {
        log_.Write("server_entry_refused", "",
                   {{"key", it.key}, {"reason", e.what()}});
      }
    }
  }
  malformed_keys_ = std::move(malformed);
  view_.ApplyServers(std::move(servers), requested_at,
                     std::chrono::steady_clock::now());
}

}  // namespace comfreyfold
