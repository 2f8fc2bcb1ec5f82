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

// What becomes of one request to the key-value service.
enum class Fate {
  kAnswered,
  kLost,        // It never arrives.
  kLostAnswer,  // It takes effect; the answer never arrives.
  kLate,        // It takes effect when DeliverLate is called.
};

// One lane's journal at the key-value stand-in, and any number of owners of
// it, all in this process.
class LaneWorld {
 public:
  LaneWorld(Loop& loop, LaneSettings settings);

  // Owners made from now on have these holders.
  void SetHolders(HolderLinks& holders) { holders_ = &holders; }
  std::shared_ptr<LaneOwner> MakeOwner(const std::string& daemon);
  EventLog& log(const std::string& daemon);
  const LaneSettings& settings() const { return settings_; }
  // The fate of the next requests; those after them are answered.
  void SetFates(std::deque<Fate> fates) { fates_ = std::move(fates); }
  // Nothing is answered until it is set to false again.
  void SetOut(bool out) { out_ = out; }
  // Blocks of this daemon never reach the service.
  void CutOff(const std::string& daemon) { cut_off_ = daemon; }
  void DeliverLate(Fiber& fiber);
  // Runs before each request is handled.
  void BeforeRequest(std::function<void(Fiber&, const HttpRequest&)> hook) {
    before_ = std::move(hook);
  }

  // Every block that took effect, trimmed ones included.
  const std::map<std::int64_t, LaneBlock>& blocks() const { return blocks_; }
  // A block number that took effect a second time; 0: none.
  std::int64_t repeated_block() const { return repeated_block_; }
  // The state by applying every block in order, without snapshots.
  LaneState NaiveState() const;
  KvClient& kv() { return kv_; }
  LaneJournal MakeJournal() { return {kv_, kLane}; }

  static constexpr int kLane = 3;
  // More than any test writes.
  static constexpr int kWritesPerSecond = 1000000;

 private:
  void Handle(Fiber& fiber, const HttpRequest& request, HttpExchange& exchange);
  // Lets the service handle the request and notes the blocks it created.
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
  std::deque<Fate> fates_;
  bool out_ = false;
  std::string cut_off_;
  HolderLinks* holders_ = nullptr;
  std::vector<HttpRequest> late_;
  std::function<void(Fiber&, const HttpRequest&)> before_;
  std::map<std::int64_t, LaneBlock> blocks_;
  std::int64_t repeated_block_ = 0;
};

// How long a test waits for what is sure to come.
inline constexpr std::chrono::milliseconds kPatience{10000};

// Waits until `ready`, asking again after each pause; fails past kPatience.
void WaitFor(Fiber& fiber, const std::function<bool()>& ready);

// An owner on `daemon` that has taken the lane.
std::shared_ptr<LaneOwner> Take(Fiber& fiber,
                                LaneWorld& world,
                                const std::string& daemon);

// Runs `body` in a coroutine of a loop of its own; an exception that leaves
// it leaves this function too.
void RunInLane(const LaneSettings& settings,
               const std::function<void(Fiber&, LaneWorld&)>& body);

}  // namespace comfreyfold::lane

#endif  // LANE_LANE_WORLD_H_
