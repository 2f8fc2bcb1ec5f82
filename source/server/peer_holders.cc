#include "server/peer_holders.h"

#include <chrono>

#include "server/peer_protocol.h"
#include "wire/codec.h"

namespace comfreyfold {

namespace {

constexpr std::chrono::milliseconds kHolderTimeout{500};
constexpr int kHttpBadRequest = 400;

bool IsSpoolPath(const std::string& path) {
  return path == kSpoolStorePath || path == kSpoolSealPath ||
         path == kSpoolForgetPath;
}

}  // namespace

PeerHolders::PeerHolders(HttpClient& http,
                         KvClient& kv,
                         const Membership& membership,
                         BlockSpool* spool,
                         EventLog& log)
    : http_(http), kv_(kv), membership_(membership), spool_(spool), log_(log) {}

std::vector<SpoolHolder> PeerHolders::Choose(int lane) {
  std::vector<SpoolCandidate> candidates;
  for (const auto& [daemon, heartbeat] : membership_.peers()) {
    const SpoolHolder holder{daemon, heartbeat.spool};
    if (IsAvailable(holder)) {
      candidates.push_back({holder, heartbeat.data_centre});
    }
  }
  return ChooseHolders(lane, membership_.self().data_centre, candidates);
}

bool PeerHolders::IsAvailable(const SpoolHolder& holder) {
  const auto known = membership_.peers().find(holder.daemon);
  return known != membership_.peers().end() && !holder.spool.empty() &&
         known->second.spool == holder.spool && !known->second.draining &&
         membership_.IsLive(holder.daemon, std::chrono::steady_clock::now());
}

bool PeerHolders::MayReturn(Fiber& fiber, const SpoolHolder& holder) {
  if (holder.daemon == membership_.self().daemon) {
    return spool_ != nullptr && spool_->id() == holder.spool;
  }
  const auto known = membership_.peers().find(holder.daemon);
  if (known != membership_.peers().end() &&
      known->second.spool != holder.spool) {
    return false;
  }
  return kv_.Get(fiber, kMemberPrefix + holder.daemon).has_value();
}

SpoolStatus PeerHolders::Store(Fiber& fiber,
                               const SpoolHolder& holder,
                               int lane,
                               const LaneBlock& block) {
  return Ask(fiber, holder, kSpoolStorePath,
             {holder.spool, lane, block.epoch, block.number, Encode(block)})
      .status;
}

SealAnswer PeerHolders::Seal(Fiber& fiber,
                             const SpoolHolder& holder,
                             int lane,
                             std::int64_t epoch,
                             std::int64_t number) {
  const auto answer = Ask(fiber, holder, kSpoolSealPath,
                          {holder.spool, lane, epoch, number, {}});
  SealAnswer out{answer.status, {}};
  for (const auto& it : answer.blocks) {
    out.blocks.push_back(DecodeLaneBlock(it));
  }
  return out;
}

SpoolStatus PeerHolders::Forget(Fiber& fiber,
                                const SpoolHolder& holder,
                                int lane,
                                std::int64_t number) {
  return Ask(fiber, holder, kSpoolForgetPath,
             {holder.spool, lane, 0, number, {}})
      .status;
}

SpoolAnswer PeerHolders::Ask(Fiber& fiber,
                             const SpoolHolder& holder,
                             const std::string& path,
                             const SpoolRequest& request) {
  if (holder.daemon == membership_.self().daemon) {
    return Answer(path, request);
  }
  const auto known = membership_.peers().find(holder.daemon);
  if (known == membership_.peers().end()) {
    return {SpoolStatus::kNoAnswer, {}};
  }
  HttpOptions options;
  options.connect_timeout = kHolderTimeout;
  options.idle_timeout = kHolderTimeout;
  const std::string address = known->second.address;
  try {
    const auto reply = http_.Send(
        fiber, address,
        {"POST", path, {{"Content-Type", kThriftType}}, Encode(request)},
        options);
    if (reply.status == 200) {
      return DecodeSpoolAnswer(reply.body);
    }
  } catch (const HttpFailure&) {
    // Reported below as kNoAnswer: the request may or may not have been
    // executed.
  }
  return {SpoolStatus::kNoAnswer, {}};
}

SpoolAnswer PeerHolders::Answer(const std::string& path,
                                const SpoolRequest& request) {
  if (spool_ == nullptr) {
    return {SpoolStatus::kOtherSpool, {}};
  }
  try {
    if (path == kSpoolStorePath) {
      return spool_->Store(request);
    }
    return path == kSpoolSealPath ? spool_->Seal(request)
                                  : spool_->Forget(request);
  } catch (const std::filesystem::filesystem_error& e) {
    log_.Write(
        {.name = "spool_failed", .lane = request.lane, .detail = e.what()});
    return {SpoolStatus::kNoAnswer, {}};
  }
}

bool PeerHolders::Handle(const HttpRequest& request, HttpExchange& exchange) {
  const auto path = request.Path();
  if (!IsSpoolPath(path)) {
    return false;
  }
  try {
    exchange.Reply(200, kThriftType,
                   Encode(Answer(path, DecodeSpoolRequest(request.body))));
  } catch (const WireError& e) {
    exchange.Reply(kHttpBadRequest, "text/plain", e.what());
  }
  return true;
}

}  // namespace comfreyfold
