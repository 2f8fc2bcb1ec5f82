#ifndef LANE_LANE_WORLD_H_
#define LANE_LANE_WORLD_H_

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "server/lane_owner.h"
#include "standins/kv_service.h"

namespace comfreyfold::lane {

// How one request to the key-value service is delivered.
enum class Delivery {
  kAnswered,
  kRequestLost,  // The request never arrives.
  kAnswerLost,   // The request takes effect, but its answer never arrives.
  kDelayed,      // The request takes effect when DeliverDelayed is called.
};

// Runs the journal of one lane at the key-value stand-in, with any number of
// owners of the lane, in one process.
class LaneWorld {
 public:
  LaneWorld(Loop& loop, LaneSettings settings);

  // Owners created from now on use these holders.
  void SetHolders(HolderClient& holder_client) {
    holder_client_ = &holder_client;
  }
  std::shared_ptr<LaneOwner> MakeOwner(const std::string& daemon);
  EventLog& log(const std::string& daemon);
  const LaneSettings& settings() const { return settings_; }
  // Sets how the next requests are delivered; the requests after them are
  // answered.
  void SetDeliveries(std::deque<Delivery> deliveries) {
    deliveries_ = std::move(deliveries);
  }
  // While set, every request is lost.
  void SetServiceDown(bool down) { service_down_ = down; }
  // Requests that write blocks of this daemon are lost from now on.
  void DropBlocksOf(const std::string& daemon) { dropped_owner_ = daemon; }
  void DeliverDelayed(Fiber& fiber);
  // The hook runs before each request is handled.
  void BeforeRequest(std::function<void(Fiber&, const HttpRequest&)> hook) {
    before_request_ = std::move(hook);
  }

  // Every block that was written, including those trimmed since.
  const std::map<std::int64_t, LaneBlock>& blocks() const { return blocks_; }
  // A block number that was written twice, or 0 when there is none.
  std::int64_t repeated_block() const { return repeated_block_; }
  // The state after applying every block in order, without snapshots.
  LaneState ReferenceState() const;
  KvClient& kv() { return kv_; }
  LaneJournal MakeJournal() { return {kv_, kLane}; }

  static constexpr int kLane = 3;
  // High enough that the write pacer delays no test.
  static constexpr int kWritesPerSecond = 1000000;

 private:
  void Handle(Fiber& fiber, const HttpRequest& request, HttpExchange& exchange);
  // Passes the request to the service and records the blocks that it created.
  std::string Execute(Fiber& fiber, const HttpRequest& request);

  Loop& loop_;
  LaneSettings settings_;
  WritePacer pacer_{kWritesPerSecond, kWritesPerSecond};
  standins::KvService service_;
  HttpServer server_;
  HttpClient http_;
  std::string address_;
  KvClient kv_;
  std::map<std::string, std::unique_ptr<EventLog>> logs_;
  std::deque<Delivery> deliveries_;
  bool service_down_ = false;
  std::string dropped_owner_;
  HolderClient* holder_client_ = nullptr;
  std::vector<HttpRequest> delayed_;
  std::function<void(Fiber&, const HttpRequest&)> before_request_;
  std::map<std::int64_t, LaneBlock> blocks_;
  std::int64_t repeated_block_ = 0;
};

// How long a test waits for an event that it expects.
inline constexpr std::chrono::milliseconds kTestTimeout{10000};

// Polls `ready` until it returns true; throws after kTestTimeout.
void WaitFor(Fiber& fiber, const std::function<bool()>& ready);

// Returns an owner on `daemon` that has taken the lane.
std::shared_ptr<LaneOwner> Take(Fiber& fiber,
                                LaneWorld& world,
                                const std::string& daemon);

// Runs `body` in a coroutine on a loop of its own, and rethrows an exception
// that `body` throws.
void RunInLane(const LaneSettings& settings,
               const std::function<void(Fiber&, LaneWorld&)>& body);

}  // namespace comfreyfold::lane

#endif  // LANE_LANE_WORLD_H_
