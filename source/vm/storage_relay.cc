#include "vm/storage_relay.h"

#include <algorithm>
#include <charconv>

#include "storage/replica_client.h"

namespace comfreyfold {

namespace {

constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
// Time for which a relay waits at least and at most, whatever the sender says.
constexpr std::chrono::milliseconds kMinRelayTimeout{200};
constexpr std::chrono::milliseconds kMaxRelayTimeout{10000};
// Requests that wait for longer get a connection of their own.
constexpr std::chrono::milliseconds kShortRelayTime{500};

// Daemons of earlier builds send a 1.
std::chrono::milliseconds RelayTime(const HttpRequest& request) {
  const auto value = request.Header(kRelayHeader);
  int time_ms = 0;
  std::from_chars(value.data(), value.data() + value.size(), time_ms);
  return std::clamp(std::chrono::milliseconds(time_ms), kMinRelayTimeout,
                    kMaxRelayTimeout);
}

}  // namespace

void RelayStorageRequest(Fiber& fiber,
                         HttpClient& http,
                         const FleetView& view,
                         const HttpRequest& request,
                         HttpExchange& exchange) {
  const auto disk = request.Path().substr(std::string(kStoragePath).size());
  const auto* member = view.storage_list().Find(disk);
  if (member == nullptr) {
    exchange.Reply(kNotFound, "text/plain", "no such disk\n");
    return;
  }
  // The address is copied because the list may be replaced while the coroutine
  // waits for the answer.
  const auto address = member->address;
  const auto time = RelayTime(request);
  HttpOptions options;
  options.connect_timeout = kMinRelayTimeout;
  options.idle_timeout = time;
  options.total_timeout = time;
  // A relay that is cut off too must not wait on an old connection.
  options.fresh_connection = time > kShortRelayTime;
  options.body = &request.body;
  try {
    const auto reply =
        http.Send(fiber, address, {"POST", request.Path(), {}, ""}, options);
    exchange.Reply(reply.status, "", reply.body);
  } catch (const HttpFailure& e) {
    exchange.Reply(kUnavailable, "text/plain", e.what());
  }
}

}  // namespace comfreyfold
