#include "server/server_announcer.h"

#include <utility>

#include "core/call_error.h"
#include "net/error_reply.h"
#include "server/peer_protocol.h"
#include "wire/codec.h"

namespace comfreyfold {

namespace {
// Servers of one machine change together.
constexpr std::chrono::milliseconds kJoinTime{20};
constexpr std::chrono::milliseconds kPeerTimeout{500};
constexpr int kAttempts = 2;
// Side by side, so that a peer that is frozen holds only one of them up.
constexpr int kSenders = 16;
}  // namespace

ServerAnnouncer::ServerAnnouncer(Loop& loop,
                                 HttpClient& http,
                                 const Membership& membership,
                                 BackendDirectory& directory,
                                 EventLog& log)
    : loop_(loop),
      http_(http),
      membership_(membership),
      directory_(directory),
      log_(log) {}

void ServerAnnouncer::Announce(const ServerState& state) {
  waiting_.servers.push_back(state);
  if (waiting_.servers.size() == 1) {
    loop_.Spawn([this](Fiber& fiber) { Send(fiber); });
  }
}

void ServerAnnouncer::Send(Fiber& fiber) {
  fiber.Sleep(kJoinTime);
  auto batch = std::make_shared<Batch>();
  batch->body = Encode(std::exchange(waiting_, {}));
  const auto now = std::chrono::steady_clock::now();
  for (const auto& [daemon, heartbeat] : membership_.peers()) {
    if (membership_.IsLive(daemon, now)) {
      batch->addresses.push_back(heartbeat.address);
    }
  }
  for (int i = 0; i < kSenders; ++i) {
    loop_.Spawn([this, batch](Fiber& child) { SendBatch(child, *batch); });
  }
}

void ServerAnnouncer::SendBatch(Fiber& fiber, Batch& batch) {
  while (!batch.addresses.empty()) {
    const auto address = std::move(batch.addresses.back());
    batch.addresses.pop_back();
    for (int n = 0; n < kAttempts && !Tell(fiber, address, batch.body); ++n) {
    }
  }
}

bool ServerAnnouncer::Tell(Fiber& fiber,
                           const std::string& address,
                           const std::string& body) {
  HttpOptions options;
  options.connect_timeout = kPeerTimeout;
  options.idle_timeout = kPeerTimeout;
  try {
    http_.Send(fiber, address,
               {"POST", kServersPath, {{"Content-Type", kThriftType}}, body},
               options);
    return true;
  } catch (const HttpFailure&) {
    // A peer that was not told asks the server itself now and then.
    return false;
  }
}

bool ServerAnnouncer::Handle(const HttpRequest& request,
                             HttpExchange& exchange) {
  if (request.Path() != kServersPath) {
    return false;
  }
  try {
    const auto news = DecodeServerNews(request.body);
    for (const auto& it : news.servers) {
      log_.ReceiveStamp(it.clock);
      directory_.Take(it);
    }
    exchange.Reply(200, "text/plain", "taken");
  } catch (const WireError& e) {
    ReplyError(exchange, CallError(400, "bad_body",
                                   std::string(e.what()) +
                                       "; run the same version on each daemon",
                                   Verdict::kNotRun));
  }
  return true;
}

}  // namespace comfreyfold
