#include "server/server_announcer.h"

#include <utility>

#include "core/call_error.h"
#include "net/error_reply.h"
#include "server/peer_protocol.h"
#include "wire/codec.h"

namespace comfreyfold {

namespace {
// The servers of one VM change state nearly at the same time; their changes go
// into one message.
constexpr std::chrono::milliseconds kBatchWindow{20};
constexpr std::chrono::milliseconds kPeerTimeout{500};
constexpr int kAttempts = 2;
// Concurrent senders per batch: a peer that does not respond delays only one.
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
  pending_.servers.push_back(state);
  if (pending_.servers.size() == 1) {
    loop_.Spawn([this](Fiber& fiber) { SendPending(fiber); });
  }
}

void ServerAnnouncer::SendPending(Fiber& fiber) {
  fiber.Sleep(kBatchWindow);
  auto batch = std::make_shared<Batch>();
  batch->body = Encode(std::exchange(pending_, {}));
  const auto now = std::chrono::steady_clock::now();
  for (const auto& [daemon, heartbeat] : membership_.peers()) {
    if (membership_.IsLive(daemon, now)) {
      batch->addresses.push_back(heartbeat.address);
    }
  }
  for (int i = 0; i < kSenders; ++i) {
    loop_.Spawn(
        [this, batch](Fiber& child) { SendToRemaining(child, *batch); });
  }
}

void ServerAnnouncer::SendToRemaining(Fiber& fiber, Batch& batch) {
  while (!batch.addresses.empty()) {
    const auto address = std::move(batch.addresses.back());
    batch.addresses.pop_back();
    for (int n = 0; n < kAttempts && !SendTo(fiber, address, batch.body); ++n) {
    }
  }
}

bool ServerAnnouncer::SendTo(Fiber& fiber,
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
    // A peer that the message did not reach still polls the server itself from
    // time to time.
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
      directory_.ApplyPeerReport(it);
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
