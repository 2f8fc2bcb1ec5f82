#include "standins/kv_service.h"

#include <nlohmann/json.hpp>

#include "clients/base64.h"

namespace comfreyfold::standins {

namespace {

using nlohmann::json;

constexpr std::size_t kMostValueBytes = 1024 * 1024;
constexpr std::chrono::milliseconds kWatchStep{250};

std::int64_t Number(const json& body, const char* name) {
  const auto it = body.find(name);
  if (it == body.end()) {
    return 0;
  }
  return it->is_string() ? std::stoll(it->get<std::string>())
                         : it->get<std::int64_t>();
}

std::string Key(const json& body, const char* name) {
  return DecodeBase64(body.value(name, ""));
}

// The first key that a transaction writes.
std::string FirstPut(const json& body) {
  for (const auto& it : body.value("success", json::array())) {
    if (it.contains("request_put")) {
      return Key(it["request_put"], "key");
    }
  }
  return {};
}

}  // namespace

KvService::KvService(Loop& loop) : changed_(loop) {}

json KvService::Header() const {
  return {{"revision", std::to_string(revision_)}};
}

void KvService::ExpireLeases() {
  const auto now = std::chrono::steady_clock::now();
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.expires > now) {
      ++it;
      continue;
    }
    std::erase_if(items_, [&it](const auto& item) {
      return item.second.lease == it->first;
    });
    it = leases_.erase(it);
    ++revision_;
    changed_.NotifyAll();
  }
}

json KvService::Range(const json& body) const {
  const auto first = Key(body, "key");
  const auto end = Key(body, "range_end");
  const auto limit = Number(body, "limit");
  json kvs = json::array();
  for (auto it = items_.lower_bound(first); it != items_.end(); ++it) {
    if (end.empty() ? it->first != first : it->first >= end) {
      break;
    }
    if (limit > 0 && static_cast<std::int64_t>(kvs.size()) >= limit) {
      break;
    }
    kvs.push_back(
        {{"key", EncodeBase64(it->first)},
         {"value", EncodeBase64(it->second.value)},
         {"create_revision", std::to_string(it->second.create_revision)},
         {"mod_revision", std::to_string(it->second.mod_revision)},
         {"lease", std::to_string(it->second.lease)}});
  }
  return {{"header", Header()}, {"kvs", kvs}};
}

bool KvService::Holds(const json& compare) const {
  const auto it = items_.find(Key(compare, "key"));
  const bool create = compare.value("target", "") == "CREATE";
  std::int64_t actual = 0;
  if (it != items_.end()) {
    actual = create ? it->second.create_revision : it->second.mod_revision;
  }
  const auto wanted =
      Number(compare, create ? "create_revision" : "mod_revision");
  return compare.value("result", "") == "GREATER" ? actual > wanted
                                                  : actual == wanted;
}

void KvService::Delete(const std::string& first, const std::string& end) {
  const auto from = items_.lower_bound(first);
  auto to = from;
  while (to != items_.end() &&
         (end.empty() ? to->first == first : to->first < end)) {
    ++to;
  }
  items_.erase(from, to);
}

json KvService::Txn(const json& body) {
  for (const auto& it : body.value("compare", json::array())) {
    if (!Holds(it)) {
      return {{"header", Header()}, {"succeeded", false}};
    }
  }
  ++revision_;
  for (const auto& it : body.value("success", json::array())) {
    if (it.contains("request_put")) {
      const auto& put = it["request_put"];
      auto& item = items_[Key(put, "key")];
      item.value = Key(put, "value");
      if (item.create_revision == 0) {
        item.create_revision = revision_;
      }
      item.mod_revision = revision_;
      item.lease = Number(put, "lease");
    } else if (it.contains("request_delete_range")) {
      const auto& range = it["request_delete_range"];
      Delete(Key(range, "key"), Key(range, "range_end"));
    }
  }
  changed_.NotifyAll();
  return {{"header", Header()}, {"succeeded", true}};
}

json KvService::Dispatch(const std::string& path, const json& body) {
  ExpireLeases();
  if (path == "/v3/kv/range") {
    return Range(body);
  }
  if (path == "/v3/kv/txn") {
    return Txn(body);
  }
  if (path == "/v3/lease/grant") {
    const auto id = next_lease_++;
    const std::chrono::seconds ttl(Number(body, "TTL"));
    leases_[id] = {ttl, std::chrono::steady_clock::now() + ttl};
    return {{"ID", std::to_string(id)}, {"TTL", std::to_string(ttl.count())}};
  }
  const auto it = leases_.find(Number(body, "ID"));
  if (path == "/v3/lease/keepalive") {
    if (it == leases_.end()) {
      return {{"result", {{"TTL", "0"}}}};
    }
    it->second.expires = std::chrono::steady_clock::now() + it->second.ttl;
    return {{"result", {{"TTL", std::to_string(it->second.ttl.count())}}}};
  }
  if (path == "/v3/lease/revoke" && it != leases_.end()) {
    it->second.expires = {};
    ExpireLeases();
  }
  return json::object();
}

void KvService::Watch(Fiber& fiber, const json& body, HttpExchange& exchange) {
  const auto& create = body.at("create_request");
  std::int64_t seen = Number(create, "start_revision") - 1;
  exchange.Begin(200, "application/json");
  exchange.Write("{\"result\":{\"created\":true}}\n");
  while (!exchange.broken()) {
    std::int64_t newest = seen;
    const auto range = Range(create);
    for (const auto& it : range["kvs"]) {
      newest = std::max(newest, Number(it, "mod_revision"));
    }
    if (newest > seen) {
      seen = newest;
      exchange.Write(json{{"result",
                           {{"header", {{"revision", std::to_string(seen)}}},
                            {"events", json::array({json::object()})}}}}
                         .dump() +
                     "\n");
    } else if (!changed_.Wait(fiber, kWatchStep)) {
      // An empty progress line tells a live watch from a dead one.
      exchange.Write("{\"result\":{}}\n");
    }
    if (faults_.Due("out")) {
      exchange.Abort();
    }
  }
}

void KvService::Handle(Fiber& fiber,
                       const HttpRequest& request,
                       HttpExchange& exchange) {
  if (faults_.Handle(request, exchange)) {
    return;
  }
  const auto path = request.Path();
  if (path == "/audit") {
    auto audit = json(calls_);
    audit["faults_shown"] = faults_.shown();
    exchange.Reply(200, "application/json", audit.dump());
    return;
  }
  ++calls_[path];
  if (!faults_.Pass(fiber, exchange)) {
    return;
  }
  const auto body = json::parse(request.body);
  if (path == "/v3/watch") {
    Watch(fiber, body, exchange);
    return;
  }
  if (request.body.size() > 2 * kMostValueBytes) {
    exchange.Reply(400, "application/json", R"({"error":"too large"})");
    return;
  }
  const auto answer = Dispatch(path, body);
  const auto late = "late " + FirstPut(body);
  if (path == "/v3/kv/txn" && faults_.Due(late)) {
    fiber.Sleep(faults_.Delay(late));
  }
  if (path == "/v3/kv/txn" && faults_.Due("lost_answer")) {
    exchange.Abort();
    return;
  }
  exchange.Reply(200, "application/json", answer.dump());
}

}  // namespace comfreyfold::standins
