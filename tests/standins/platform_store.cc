#include "standins/platform_store.h"

#include <algorithm>
#include <cstdlib>

#include <nlohmann/json.hpp>

#include "clients/base64.h"

namespace comfreyfold::standins {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;

void Reply(HttpExchange& exchange, int status, const json& body) {
  exchange.Reply(status, "application/json", body.dump());
}

bool HasPrefix(const std::string& key, const std::string& prefix) {
  return key.rfind(prefix, 0) == 0;
}

}  // namespace

PlatformStore::PlatformStore(Loop& loop) : changed_(loop) {}

void PlatformStore::Put(const std::string& key, const std::string& value) {
  auto& entry = entries_[key];
  entry.value = value;
  entry.revision = ++revision_;
  if (entry.create_revision == 0) {
    entry.create_revision = revision_;
  }
  deletion_revisions_.erase(key);
  changed_.NotifyAll();
}

void PlatformStore::Delete(const std::string& key) {
  if (entries_.erase(key) > 0) {
    deletion_revisions_[key] = ++revision_;
    changed_.NotifyAll();
  }
}

std::string PlatformStore::Value(const std::string& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? "" : it->second.value;
}

json PlatformStore::ToJson(const std::string& key, const Entry& entry) const {
  return {{"key", key},
          {"value", EncodeBase64(entry.value)},
          {"revision", entry.revision},
          {"created", entry.create_revision},
          {"lease", 0},
          {"store_revision", revision_}};
}

void PlatformStore::Handle(Fiber& fiber,
                           const HttpRequest& request,
                           HttpExchange& exchange) {
  if (faults_.Handle(request, exchange)) {
    return;
  }
  if (HasPrefix(request.Path(), "/operator/")) {
    HandleOperatorRequest(request, exchange);
    return;
  }
  ++calls_;
  if (!faults_.ApplyBeforeRequest(fiber, exchange)) {
    return;
  }
  const auto path = request.Path();
  if (path == "/api/kv-key") {
    Get(request, exchange);
  } else if (path == "/api/kv-range") {
    Range(request, exchange);
  } else if (path == "/api/kv-watch") {
    Watch(fiber, request, exchange);
  } else if (path == "/api/kv-txn") {
    Txn(request, exchange);
  } else {
    Reply(exchange, kNotFound, {{"error", "unknown path"}});
  }
}

void PlatformStore::HandleOperatorRequest(const HttpRequest& request,
                                          HttpExchange& exchange) {
  const auto body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("key")) {
    Reply(exchange, kBadRequest,
          {{"error", "the request body needs a \"key\""}});
    return;
  }
  const auto key = body["key"].get<std::string>();
  if (request.Path() == "/operator/delete") {
    Delete(key);
  } else if (request.Path() == "/operator/put") {
    Put(key, body.value("value", ""));
  }
  Reply(exchange, kOk, {{"value", Value(key)}, {"revision", revision_}});
}

void PlatformStore::Get(const HttpRequest& request,
                        HttpExchange& exchange) const {
  const auto it = entries_.find(request.Query("key"));
  if (it == entries_.end()) {
    Reply(exchange, kNotFound, {{"store_revision", revision_}});
    return;
  }
  Reply(exchange, kOk, ToJson(it->first, it->second));
}

void PlatformStore::Range(const HttpRequest& request,
                          HttpExchange& exchange) const {
  const auto prefix = request.Query("prefix");
  const auto after = request.Query("after");
  json items = json::array();
  for (const auto& [key, entry] : entries_) {
    if (HasPrefix(key, prefix) && key > after) {
      items.push_back(ToJson(key, entry));
    }
  }
  Reply(exchange, kOk,
        {{"items", items}, {"has_more", false}, {"store_revision", revision_}});
}

std::int64_t PlatformStore::LatestRevision(const std::string& prefix) const {
  std::int64_t out = 0;
  for (const auto& [key, entry] : entries_) {
    out = HasPrefix(key, prefix) ? std::max(out, entry.revision) : out;
  }
  for (const auto& [key, revision] : deletion_revisions_) {
    out = HasPrefix(key, prefix) ? std::max(out, revision) : out;
  }
  return out;
}

void PlatformStore::Watch(Fiber& fiber,
                          const HttpRequest& request,
                          HttpExchange& exchange) {
  const auto prefix = request.Query("prefix");
  const auto after = std::strtoll(request.Query("after").c_str(), nullptr, 10);
  const std::chrono::milliseconds max_wait(
      std::strtol(request.Query("wait_ms").c_str(), nullptr, 10));
  changed_.WaitUntil(fiber, max_wait,
                     [&] { return LatestRevision(prefix) > after; });
  json events = json::array();
  for (const auto& [key, entry] : entries_) {
    if (HasPrefix(key, prefix) && entry.revision > after) {
      events.push_back(ToJson(key, entry));
    }
  }
  for (const auto& [key, revision] : deletion_revisions_) {
    if (HasPrefix(key, prefix) && revision > after) {
      events.push_back(
          {{"key", key}, {"revision", revision}, {"deleted", true}});
    }
  }
  Reply(exchange, kOk, {{"events", events}, {"store_revision", revision_}});
}

void PlatformStore::Txn(const HttpRequest& request, HttpExchange& exchange) {
  const auto body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    Reply(exchange, kBadRequest,
          {{"error", "the request body is not a JSON object"}});
    return;
  }
  for (const auto& it : body.value("expected", json::array())) {
    const auto found = entries_.find(it.at("key").get<std::string>());
    const auto revision = found == entries_.end() ? 0 : found->second.revision;
    if (revision != it.at("revision").get<std::int64_t>()) {
      Reply(exchange, kPreconditionFailed, {{"items", json::array()}});
      return;
    }
  }
  for (const auto& it : body.value("writes", json::array())) {
    Put(it.at("key").get<std::string>(),
        DecodeBase64(it.at("value").get<std::string>()));
  }
  for (const auto& it : body.value("deletes", json::array())) {
    Delete(it.get<std::string>());
  }
  if (faults_.Trigger("lost_answer")) {
    exchange.Abort();
    return;
  }
  Reply(exchange, kOk, {{"revision", revision_}});
}

}  // namespace comfreyfold::standins
