#include "clients/kv_client.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "clients/base64.h"
#include "net/json_parser.h"

namespace comfreyfold {

namespace {

using nlohmann::json;

// The JSON gateway writes 64-bit integers as strings and omits zero values.
std::int64_t ReadInt64(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end()) {
    return 0;
  }
  return it->is_string() ? std::stoll(it->get<std::string>())
                         : it->get<std::int64_t>();
}

KvItem ParseItem(const json& kv) {
  KvItem out;
  out.key = DecodeBase64(kv.at("key").get<std::string>());
  out.value = DecodeBase64(kv.value("value", ""));
  out.create_revision = ReadInt64(kv, "create_revision");
  out.mod_revision = ReadInt64(kv, "mod_revision");
  out.lease = ReadInt64(kv, "lease");
  return out;
}

json ToJson(const KvCompare& compare) {
  const bool create = compare.field == KvCompare::Field::kCreateRevision;
  return {
      {"key", EncodeBase64(compare.key)},
      {"target", create ? "CREATE" : "MOD"},
      {"result",
       compare.relation == KvCompare::Relation::kEqual ? "EQUAL" : "GREATER"},
      {create ? "create_revision" : "mod_revision",
       std::to_string(compare.value)}};
}

json ToJson(const KvTxn& txn) {
  json compares = json::array();
  for (const auto& it : txn.compares) {
    compares.push_back(ToJson(it));
  }
  json operations = json::array();
  for (const auto& it : txn.puts) {
    json put = {{"key", EncodeBase64(it.key)},
                {"value", EncodeBase64(it.value)}};
    if (it.lease != 0) {
      put["lease"] = std::to_string(it.lease);
    }
    operations.push_back({{"request_put", put}});
  }
  for (const auto& [first, end] : txn.deletes) {
    json range = {{"key", EncodeBase64(first)}};
    if (!end.empty()) {
      range["range_end"] = EncodeBase64(end);
    }
    operations.push_back({{"request_delete_range", range}});
  }
  return {{"compare", compares}, {"success", operations}};
}

// A reply that cannot be parsed does not tell whether the request was applied,
// so the failure is thrown with may_have_applied set.
json ParseReply(const std::string& body) {
  auto out = ParseJson(body);
  if (!out.is_object()) {
    throw KvUnavailable(
        "key-value service sent a reply that is not a JSON object", true);
  }
  return out;
}

}  // namespace

std::string PrefixEnd(std::string prefix) {
  while (!prefix.empty() && prefix.back() == '\xff') {
    prefix.pop_back();
  }
  if (!prefix.empty()) {
    ++prefix.back();
  }
  return prefix;
}

KvCompare KvCompare::Absent(std::string key) {
  return {std::move(key), Field::kCreateRevision, Relation::kEqual, 0};
}

KvCompare KvCompare::Exists(std::string key) {
  return {std::move(key), Field::kCreateRevision, Relation::kGreater, 0};
}

KvCompare KvCompare::Unchanged(std::string key, std::int64_t mod_revision) {
  return {std::move(key), Field::kModRevision, Relation::kEqual, mod_revision};
}

KvClient::KvClient(HttpClient& http,
                   std::string address,
                   std::chrono::milliseconds timeout)
    : http_(http), address_(std::move(address)), timeout_(timeout) {}

void KvClient::ReportCall(const std::string& path,
                          bool answered,
                          std::chrono::steady_clock::time_point start) const {
  if (on_call_) {
    on_call_(path, answered, std::chrono::steady_clock::now() - start);
  }
}

std::string KvClient::Post(Fiber& fiber,
                           const std::string& path,
                           const std::string& body) {
  ++calls_;
  const auto start = std::chrono::steady_clock::now();
  HttpOptions options;
  options.connect_timeout = timeout_;
  options.idle_timeout = timeout_;
  HttpReply reply;
  try {
    reply = http_.Send(
        fiber, address_,
        {"POST", path, {{"Content-Type", "application/json"}}, body}, options);
  } catch (const HttpFailure& e) {
    ReportCall(path, false, start);
    throw KvUnavailable(e.what(), e.sent());
  }
  ReportCall(path, reply.status == 200, start);
  if (reply.status != 200) {
    throw KvUnavailable("key-value service answered with status " +
                            std::to_string(reply.status),
                        reply.status >= 500);
  }
  return reply.body;
}

KvRange KvClient::Range(Fiber& fiber,
                        const std::string& first,
                        const std::string& end,
                        int limit) {
  json body = {{"key", EncodeBase64(first)}};
  if (!end.empty()) {
    body["range_end"] = EncodeBase64(end);
  }
  if (limit > 0) {
    body["limit"] = std::to_string(limit);
  }
  const auto reply = ParseReply(Post(fiber, "/v3/kv/range", body.dump()));
  KvRange out;
  out.revision = ReadInt64(reply.value("header", json::object()), "revision");
  for (const auto& it : reply.value("kvs", json::array())) {
    out.items.push_back(ParseItem(it));
  }
  return out;
}

KvRange KvClient::Prefix(Fiber& fiber, const std::string& prefix) {
  return Range(fiber, prefix, PrefixEnd(prefix));
}

std::optional<KvItem> KvClient::Get(Fiber& fiber, const std::string& key) {
  auto range = Range(fiber, key, {}, 1);
  if (range.items.empty()) {
    return std::nullopt;
  }
  return std::move(range.items.front());
}

KvTxnResult KvClient::Commit(Fiber& fiber, const KvTxn& txn) {
  const auto reply = ParseReply(Post(fiber, "/v3/kv/txn", ToJson(txn).dump()));
  return {reply.value("succeeded", false),
          ReadInt64(reply.value("header", json::object()), "revision")};
}

std::int64_t KvClient::GrantLease(Fiber& fiber, std::chrono::seconds ttl) {
  const json body = {{"TTL", std::to_string(ttl.count())}};
  return ReadInt64(ParseReply(Post(fiber, "/v3/lease/grant", body.dump())),
                   "ID");
}

bool KvClient::KeepAlive(Fiber& fiber, std::int64_t lease) {
  const json body = {{"ID", std::to_string(lease)}};
  const auto reply =
      ParseReply(Post(fiber, "/v3/lease/keepalive", body.dump()));
  return ReadInt64(reply.value("result", json::object()), "TTL") > 0;
}

void KvClient::RevokeLease(Fiber& fiber, std::int64_t lease) {
  const json body = {{"ID", std::to_string(lease)}};
  Post(fiber, "/v3/lease/revoke", body.dump());
}

void KvClient::Watch(Fiber& fiber,
                     const std::string& prefix,
                     std::int64_t from_revision,
                     std::chrono::milliseconds idle,
                     const std::function<void(std::int64_t)>& on_change) {
  ++calls_;
  ReportCall("/v3/watch", true, std::chrono::steady_clock::now());
  const json body = {{"create_request",
                      {{"key", EncodeBase64(prefix)},
                       {"range_end", EncodeBase64(PrefixEnd(prefix))},
                       {"start_revision", std::to_string(from_revision)}}}};
  std::string buf;
  HttpOptions options;
  options.connect_timeout = timeout_;
  options.idle_timeout = idle;
  options.on_data = [&buf, &on_change](std::string_view data) {
    buf += data;
    for (auto n = buf.find('\n'); n != std::string::npos; n = buf.find('\n')) {
      const auto line = ParseJson(buf.substr(0, n));
      buf.erase(0, n + 1);
      if (line.is_object() && line.contains("result") &&
          line["result"].contains("events")) {
        on_change(ReadInt64(line["result"].value("header", json::object()),
                            "revision"));
      }
    }
  };
  try {
    http_.Send(fiber, address_,
               {"POST",
                "/v3/watch",
                {{"Content-Type", "application/json"}},
                body.dump()},
               options);
  } catch (const HttpFailure& e) {
    throw KvUnavailable(e.what(), false);
  }
}

}  // namespace comfreyfold
