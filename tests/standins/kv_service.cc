#include "standins/kv_service.h"

#include <nlohmann/json.hpp>

#include "clients/base64.h"

namespace comfreyfold::standins {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxValueBytes = 1024 * 1024;
constexpr std::chrono::milliseconds kWatchProgressInterval{250};

// Reads an integer, which the interface writes as a number or a string.
std::int64_t Number(const json& body, const char* name) {
  const auto it = body.find(name);
  if (it == body.end()) {
    return 0;
  }
  return it->is_string() ? std::stoll(it->get<std::string>())
                         : it->get<std::int64_t>();
}

std::string DecodedField(const json& body, const char* name) {
  return DecodeBase64(body.value(name, ""));
}

// Returns the first key that a transaction writes.
std::string FirstWrittenKey(const json& body) {
  for (const auto& it : body.value("success", json::array())) {
    if (it.contains("request_put")) {
      return DecodedField(it["request_put"], "key");
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
    std::erase_if(entries_, [&it](const auto& entry) {
      return entry.second.lease == it->first;
    });
    it = leases_.erase(it);
    ++revision_;
    changed_.NotifyAll();
  }
}

json KvService::Range(const json& body) const {
  const auto first = DecodedField(body, "key");
  const auto end = DecodedField(body, "range_end");
  const auto limit = Number(body, "limit");
  json kvs = json::array();
  for (auto it = entries_.lower_bound(first); it != entries_.end(); ++it) {
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

bool KvService::ComparisonHolds(const json& compare) const {
  const auto it = entries_.find(DecodedField(compare, "key"));
  const bool compares_create = compare.value("target", "") == "CREATE";
  std::int64_t actual = 0;
  if (it != entries_.end()) {
    actual =
        compares_create ? it->second.create_revision : it->second.mod_revision;
  }
  const auto expected =
      Number(compare, compares_create ? "create_revision" : "mod_revision");
  return compare.value("result", "") == "GREATER" ? actual > expected
                                                  : actual == expected;
}

void KvService::Delete(const std::string& first, const std::string& end) {
  const auto from = entries_.lower_bound(first);
  auto to = from;
  while (to != entries_.end() &&
         (end.empty() ? to->first == first : to->first < end)) {
    ++to;
  }
  entries_.erase(from, to);
}

json KvService::Txn(const json& body) {
  for (const auto& it : body.value("compare", json::array())) {
    if (!ComparisonHolds(it)) {
      return {{"header", Header()}, {"succeeded", false}};
    }
  }
  ++revision_;
  for (const auto& it : body.value("success", json::array())) {
    if (it.contains("request_put")) {
      const auto& put = it["request_put"];
      auto& entry = entries_[DecodedField(put, "key")];
      entry.value = DecodedField(put, "value");
      if (entry.create_revision == 0) {
        entry.create_revision = revision_;
      }
      entry.mod_revision = revision_;
      entry.lease = Number(put, "lease");
    } else if (it.contains("request_delete_range")) {
      const auto& range = it["request_delete_range"];
      Delete(DecodedField(range, "key"), DecodedField(range, "range_end"));
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
  std::int64_t reported_revision = Number(create, "start_revision") - 1;
  exchange.Begin(200, "application/json");
  exchange.Write("{\"result\":{\"created\":true}}\n");
  while (!exchange.broken()) {
    std::int64_t newest = reported_revision;
    const auto range = Range(create);
    for (const auto& it : range["kvs"]) {
      newest = std::max(newest, Number(it, "mod_revision"));
    }
    if (newest > reported_revision) {
      reported_revision = newest;
      exchange.Write(
          json{{"result",
                {{"header", {{"revision", std::to_string(reported_revision)}}},
                 {"events", json::array({json::object()})}}}}
              .dump() +
          "\n");
    } else if (!changed_.Wait(fiber, kWatchProgressInterval)) {
      // The empty line lets the client tell an idle watch from a lost one.
      exchange.Write("{\"result\":{}}\n");
    }
    if (faults_.Trigger("out")) {
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
    auto audit = json(requests_by_path_);
    audit["faults_shown"] = faults_.triggered();
    exchange.Reply(200, "application/json", audit.dump());
    return;
  }
  ++requests_by_path_[path];
  if (!faults_.ApplyBeforeRequest(fiber, exchange)) {
    return;
  }
  const auto body = json::parse(request.body);
  if (path == "/v3/watch") {
    Watch(fiber, body, exchange);
    return;
  }
  if (request.body.size() > 2 * kMaxValueBytes) {
    exchange.Reply(400, "application/json", R"({"error":"too large"})");
    return;
  }
  const auto answer = Dispatch(path, body);
  const auto late_fault = "late " + FirstWrittenKey(body);
  if (path == "/v3/kv/txn" && faults_.Trigger(late_fault)) {
    fiber.Sleep(faults_.Delay(late_fault));
  }
  if (path == "/v3/kv/txn" && faults_.Trigger("lost_answer")) {
    exchange.Abort();
    return;
  }
  exchange.Reply(200, "application/json", answer.dump());
}

}  // namespace comfreyfold::standins
