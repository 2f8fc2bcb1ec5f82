#include "lane/lane_world.h"

#include <exception>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "clients/base64.h"
#include "wire/codec.h"

namespace comfreyfold::lane {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kPollInterval{5};
constexpr std::chrono::milliseconds kKvTimeout{2000};

// Records the body of an answer instead of sending it.
class RecordedExchange : public HttpExchange {
 public:
  void Reply(int /*status*/,
             const std::string& /*content_type*/,
             const std::string& body,
             const std::vector<HttpHeader>& /*headers*/) override {
    body_ = body;
  }
  void Begin(int /*status*/,
             const std::string& /*content_type*/,
             const std::vector<HttpHeader>& /*headers*/) override {}
  void Write(std::string_view /*piece*/) override {}
  void End() override {}
  void Abort() override {}
  bool begun() const override { return true; }
  bool broken() const override { return false; }
  bool PeerGone() override { return false; }
  const std::string& body() const { return body_; }

 private:
  std::string body_;
};

// Returns the blocks that a transaction writes if it succeeds.
std::vector<LaneBlock> BlocksIn(const HttpRequest& request) {
  std::vector<LaneBlock> out;
  const auto body = json::parse(request.body);
  if (!body.contains("success")) {
    return out;
  }
  for (const auto& it : body["success"]) {
    if (!it.contains("request_put")) {
      continue;
    }
    const auto key = DecodeBase64(it["request_put"]["key"].get<std::string>());
    if (key.find("/block/") == std::string::npos) {
      continue;
    }
    out.push_back(DecodeLaneBlock(
        DecodeBase64(it["request_put"]["value"].get<std::string>())));
  }
  return out;
}

}  // namespace

LaneWorld::LaneWorld(Loop& loop, LaneSettings settings)
    : loop_(loop),
      settings_(settings),
      service_(loop),
      server_(
          loop,
          [this](Fiber& fiber,
                 const HttpRequest& request,
                 HttpExchange& exchange) { Handle(fiber, request, exchange); }),
      http_(loop),
      address_(server_.Listen("127.0.0.1:0")),
      kv_(http_, address_, kKvTimeout) {}

EventLog& LaneWorld::log(const std::string& daemon) {
  auto& log = logs_[daemon];
  if (!log) {
    log = std::make_unique<EventLog>(daemon, "dc", "/dev/null");
  }
  return *log;
}

std::shared_ptr<LaneOwner> LaneWorld::MakeOwner(const std::string& daemon) {
  return std::make_shared<LaneOwner>(loop_, kv_, log(daemon), settings_, pacer_,
                                     kLane, holder_client_);
}

void LaneWorld::Handle(Fiber& fiber,
                       const HttpRequest& request,
                       HttpExchange& exchange) {
  if (before_request_) {
    before_request_(fiber, request);
  }
  if (!dropped_owner_.empty()) {
    for (const auto& it : BlocksIn(request)) {
      if (it.owner == dropped_owner_) {
        exchange.Abort();
        return;
      }
    }
  }
  auto delivery = service_down_ ? Delivery::kRequestLost : Delivery::kAnswered;
  if (!service_down_ && !deliveries_.empty()) {
    delivery = deliveries_.front();
    deliveries_.pop_front();
  }
  if (delivery == Delivery::kDelayed) {
    delayed_.push_back(request);
  }
  if (delivery == Delivery::kRequestLost || delivery == Delivery::kDelayed) {
    exchange.Abort();
    return;
  }
  const auto answer = Execute(fiber, request);
  if (delivery == Delivery::kAnswerLost) {
    exchange.Abort();
    return;
  }
  exchange.Reply(200, "application/json", answer);
}

std::string LaneWorld::Execute(Fiber& fiber, const HttpRequest& request) {
  RecordedExchange answer;
  service_.Handle(fiber, request, answer);
  const auto reply = json::parse(answer.body());
  if (!reply.value("succeeded", false)) {
    return answer.body();
  }
  for (const auto& block : BlocksIn(request)) {
    if (!blocks_.emplace(block.number, block).second) {
      repeated_block_ = block.number;
    }
  }
  return answer.body();
}

void LaneWorld::DeliverDelayed(Fiber& fiber) {
  const auto delayed = std::move(delayed_);
  delayed_.clear();
  for (const auto& it : delayed) {
    Execute(fiber, it);
  }
}

LaneState LaneWorld::ReferenceState() const {
  LaneState out;
  for (const auto& [number, block] : blocks_) {
    out.Apply(block);
  }
  return out;
}

void WaitFor(Fiber& fiber, const std::function<bool()>& ready) {
  const auto until = std::chrono::steady_clock::now() + kTestTimeout;
  while (!ready() && std::chrono::steady_clock::now() < until) {
    fiber.Sleep(kPollInterval);
  }
  if (!ready()) {
    throw std::runtime_error("timed out waiting for a condition");
  }
}

std::shared_ptr<LaneOwner> Take(Fiber& fiber,
                                LaneWorld& world,
                                const std::string& daemon) {
  auto owner = world.MakeOwner(daemon);
  owner->Open(fiber);
  return owner;
}

void RunInLane(const LaneSettings& settings,
               const std::function<void(Fiber&, LaneWorld&)>& body) {
  std::exception_ptr error;
  Loop loop;
  LaneWorld world(loop, settings);
  loop.Spawn([&](Fiber& fiber) {
    try {
      body(fiber, world);
    } catch (const std::exception&) {
      error = std::current_exception();
    }
    loop.Stop();
  });
  loop.Run();
  if (error) {
    std::rethrow_exception(error);
  }
}

}  // namespace comfreyfold::lane
