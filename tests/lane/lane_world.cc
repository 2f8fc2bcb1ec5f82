#include "lane/lane_world.h"

#include <exception>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "clients/base64.h"
#include "wire/codec.h"

namespace comfreyfold::lane {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kStep{5};
constexpr std::chrono::milliseconds kKvTimeout{2000};

// Keeps an answer instead of sending it.
class KeptAnswer : public HttpExchange {
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

// The blocks that a transaction is to create.
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
                                     kLane, holders_);
}

void LaneWorld::Handle(Fiber& fiber,
                       const HttpRequest& request,
                       HttpExchange& exchange) {
  if (before_) {
    before_(fiber, request);
  }
  if (!cut_off_.empty()) {
    for (const auto& it : BlocksIn(request)) {
      if (it.owner == cut_off_) {
        exchange.Abort();
        return;
      }
    }
  }
  auto fate = out_ ? Fate::kLost : Fate::kAnswered;
  if (!out_ && !fates_.empty()) {
    fate = fates_.front();
    fates_.pop_front();
  }
  if (fate == Fate::kLate) {
    late_.push_back(request);
  }
  if (fate == Fate::kLost || fate == Fate::kLate) {
    exchange.Abort();
    return;
  }
  const auto answer = Execute(fiber, request);
  if (fate == Fate::kLostAnswer) {
    exchange.Abort();
    return;
  }
  exchange.Reply(200, "application/json", answer);
}

std::string LaneWorld::Execute(Fiber& fiber, const HttpRequest& request) {
  KeptAnswer answer;
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

void LaneWorld::DeliverLate(Fiber& fiber) {
  const auto late = std::move(late_);
  late_.clear();
  for (const auto& it : late) {
    Execute(fiber, it);
  }
}

LaneState LaneWorld::NaiveState() const {
  LaneState out;
  for (const auto& [number, block] : blocks_) {
    out.Apply(block);
  }
  return out;
}

void WaitFor(Fiber& fiber, const std::function<bool()>& ready) {
  const auto until = std::chrono::steady_clock::now() + kPatience;
  while (!ready() && std::chrono::steady_clock::now() < until) {
    fiber.Sleep(kStep);
  }
  if (!ready()) {
    throw std::runtime_error("waited in vain");
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
