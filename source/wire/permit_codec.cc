#include <cmath>
#include <utility>

#include "wire/compact.h"
#include "wire/limit_wire.h"
#include "wire/permit_messages.h"

namespace comfreyfold {

namespace detail {

std::vector<wire::ServerLimit> ToWire(const std::vector<ServerLimit>& limits) {
  std::vector<wire::ServerLimit> out;
  out.reserve(limits.size());
  for (const auto& it : limits) {
    wire::ServerLimit limit;
    limit.server = it.server_id;
    limit.started_ms = it.started.count();
    if (it.per_second) {
      limit.__set_per_second(*it.per_second);
    }
    limit.age_ms = it.age.count();
    out.push_back(std::move(limit));
  }
  return out;
}

std::vector<ServerLimit> FromWire(
    const std::vector<wire::ServerLimit>& limits) {
  std::vector<ServerLimit> out;
  out.reserve(limits.size());
  for (const auto& it : limits) {
    ServerLimit limit;
    limit.server_id = it.server;
    limit.started = std::chrono::milliseconds(it.started_ms);
    if (it.__isset.per_second) {
      limit.per_second = it.per_second;
    }
    limit.age = std::chrono::milliseconds(it.age_ms);
    if (!limit.per_second ||
        (std::isfinite(*limit.per_second) && *limit.per_second >= 0)) {
      out.push_back(std::move(limit));
    }
  }
  return out;
}

}  // namespace detail

std::string Encode(const PermitQuestion& question) {
  wire::PermitQuestion out;
  for (const auto& it : question.requests) {
    wire::PermitRequest request;
    request.server = it.server_id;
    request.wanted = it.wanted;
    out.requests.push_back(std::move(request));
  }
  out.limits = detail::ToWire(question.limits);
  out.address = question.address;
  return detail::Write(out);
}

PermitQuestion DecodePermitQuestion(const std::string& buf) {
  const auto in = detail::Read<wire::PermitQuestion>(buf);
  PermitQuestion out;
  for (const auto& it : in.requests) {
    out.requests.push_back({it.server, it.wanted});
  }
  out.limits = detail::FromWire(in.limits);
  out.address = in.address;
  return out;
}

std::string Encode(const PermitNews& news) {
  wire::PermitNews out;
  for (const auto& it : news.replies) {
    wire::PermitReply reply;
    reply.server = it.server_id;
    for (const auto& valid_in : it.valid_in) {
      reply.valid_in_ms.push_back(valid_in.count());
    }
    reply.retry_in_ms = it.retry_in.count();
    out.replies.push_back(std::move(reply));
  }
  out.limits = detail::ToWire(news.limits);
  out.daemons = news.daemons;
  return detail::Write(out);
}

PermitNews DecodePermitNews(const std::string& buf) {
  const auto in = detail::Read<wire::PermitNews>(buf);
  PermitNews out;
  for (const auto& it : in.replies) {
    PermitReply reply;
    reply.server_id = it.server;
    for (const auto valid_in : it.valid_in_ms) {
      reply.valid_in.emplace_back(valid_in);
    }
    reply.retry_in = std::chrono::milliseconds(it.retry_in_ms);
    out.replies.push_back(std::move(reply));
  }
  out.limits = detail::FromWire(in.limits);
  out.daemons = in.daemons;
  return out;
}

}  // namespace comfreyfold
