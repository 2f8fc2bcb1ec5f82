#include "fleet/store_watcher.h"

#include <algorithm>
#include <utility>

namespace comfreyfold {

namespace {

// A watch is asked anew this often: one that has gone silent, without a
// reset, must not hide a change for longer.
constexpr std::chrono::milliseconds kWatchFor{1000};
constexpr std::chrono::milliseconds kListWatchFor{20000};
constexpr std::chrono::milliseconds kFirstBackoff{100};
// While the service is out each call is paid for all the same.
constexpr std::chrono::milliseconds kLongestBackoff{700};
constexpr std::chrono::milliseconds kAskAgain{100};

}  // namespace

StoreWatcher::StoreWatcher(Loop& loop,
                           KvStore& store,
                           FleetView& view,
                           DecisionLog& log,
                           StoreLayout layout,
                           std::chrono::milliseconds read_every)
    : loop_(loop),
      store_(store),
      view_(view),
      log_(log),
      layout_(std::move(layout)),
      read_every_(read_every) {}

void StoreWatcher::Start() {
  loop_.Spawn([this](Fiber& fiber) { FollowOperators(fiber); });
  loop_.Spawn([this](Fiber& fiber) { FollowList(fiber); });
  loop_.Spawn([this](Fiber& fiber) { ReadServers(fiber); });
}

void StoreWatcher::Reached(bool reached, const std::string& reason) {
  if (reached != reached_) {
    reached_ = reached;
    log_.Write(reached ? "store_regained" : "store_lost", "",
               {{"reason", reason}});
  }
}

std::chrono::milliseconds StoreWatcher::Backoff(int failures) const {
  return std::min(kLongestBackoff,
                  kFirstBackoff * (1 << std::min(failures, 4)));
}

void StoreWatcher::Follow(Fiber& fiber,
                          const std::string& prefix,
                          std::chrono::milliseconds watch_for,
                          const std::function<bool()>& needed,
                          const std::function<std::int64_t()>& read,
                          const std::function<void(TimePoint)>& confirmed) {
  int failures = 0;
  std::int64_t revision = 0;  // 0: read before watching.
  for (;;) {
    if (needed && !needed()) {
      revision = 0;
      fiber.Sleep(kAskAgain);
      continue;
    }
    try {
      if (revision == 0) {
        revision = read();
      }
      const auto asked_at = std::chrono::steady_clock::now();
      bool changed = false;
      store_.Watch(fiber, prefix, revision + 1, watch_for,
                   [&changed](std::int64_t) { changed = true; });
      if (changed) {
        revision = 0;
      } else {
        // The service answers "nothing" only when the wait is over.
        confirmed(asked_at + watch_for);
      }
      failures = 0;
      Reached(true, "");
    } catch (const KvCompacted&) {
      revision = 0;
    } catch (const KvUnavailable& e) {
      revision = 0;
      Reached(false, e.what());
      fiber.Sleep(Backoff(failures++));
    }
  }
}

void StoreWatcher::FollowOperators(Fiber& fiber) {
  Follow(
      fiber, layout_.operators_prefix, kWatchFor, needed_,
      [this, &fiber] { return ReadOperators(fiber); },
      [this](TimePoint at) { view_.ConfirmConfig(at); });
}

std::int64_t StoreWatcher::ReadOperators(Fiber& fiber) {
  const auto asked_at = std::chrono::steady_clock::now();
  const auto range = store_.Prefix(fiber, layout_.operators_prefix);
  for (const auto& it : range.items) {
    if (it.key != layout_.config_key) {
      continue;
    }
    try {
      auto config = layout_.decode_config(it.value);
      const auto version = config.version;
      if (view_.ApplyConfig(std::move(config), it.value, asked_at)) {
        log_.Write("config_in_force", "",
                   {{"version", version},
                    {"revision", it.mod_revision},
                    {"source", "store"}});
      }
    } catch (const std::runtime_error& e) {
      log_.Write("config_refused", "",
                 {{"revision", it.mod_revision}, {"reason", e.what()}});
    }
  }
  if (on_operators_) {
    on_operators_(range);
  }
  return range.revision;
}

void StoreWatcher::FollowList(Fiber& fiber) {
  // A silent watch does no harm here: storage daemons tell of a newer list.
  Follow(
      fiber, layout_.list_key, kListWatchFor, list_needed_,
      [this, &fiber] { return ReadList(fiber); }, [](TimePoint) {});
}

std::int64_t StoreWatcher::ReadList(Fiber& fiber) {
  const auto range = store_.Prefix(fiber, layout_.list_key);
  for (const auto& it : range.items) {
    try {
      view_.ApplyStorage(layout_.decode_list(it.value));
    } catch (const std::runtime_error& e) {
      log_.Write("storage_list_refused", "",
                 {{"revision", it.mod_revision}, {"reason", e.what()}});
    }
  }
  return range.revision;
}

void StoreWatcher::ReadServers(Fiber& fiber) {
  int failures = 0;
  for (;;) {
    if (needed_ && !needed_()) {
      fiber.Sleep(kAskAgain);
      continue;
    }
    try {
      ReadServersOnce(fiber);
      failures = 0;
      Reached(true, "");
      fiber.Sleep(read_every_);
    } catch (const KvUnavailable& e) {
      view_.RegistryLost();
      Reached(false, e.what());
      fiber.Sleep(Backoff(failures++));
    }
  }
}

void StoreWatcher::ReadServersOnce(Fiber& fiber) {
  const auto asked_at = std::chrono::steady_clock::now();
  const auto range = store_.Prefix(fiber, layout_.servers_prefix);
  std::vector<BackendServer> listed;
  std::vector<std::string> unreadable;
  for (const auto& it : range.items) {
    try {
      listed.push_back(layout_.decode_server(it.key, it.value));
    } catch (const std::runtime_error& e) {
      unreadable.push_back(it.key);
      if (std::find(unreadable_.begin(), unreadable_.end(), it.key) ==
          unreadable_.end()) {
        log_.Write("server_entry_refused", "",
                   {{"key", it.key}, {"reason", e.what()}});
      }
    }
  }
  unreadable_ = std::move(unreadable);
  view_.ApplyServers(std::move(listed), asked_at,
                     std::chrono::steady_clock::now());
}

}  // namespace comfreyfold
