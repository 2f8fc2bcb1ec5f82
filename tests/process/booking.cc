#include "process/booking.h"

#include <utility>

namespace comfreyfold::process {

namespace {

constexpr char kTool[] = "book_order";

harness::CallAnswer Send(Fiber& fiber,
                         harness::Cluster& cluster,
                         const std::string& address,
                         const std::string& program,
                         const std::string& key) {
  harness::Caller caller(fiber, cluster.http(), harness::kQuoteKey, program);
  try {
    return caller.CallTool(address, key, kTool, {{"order", key}});
  } catch (const HttpFailure&) {
    return {};
  }
}

bool Final(const harness::CallAnswer& answer) {
  return answer.status == 200 || answer.verdict == "may_have_run";
}

}  // namespace

Booking::Booking(harness::Cluster& cluster,
                 std::string program,
                 std::string key)
    : cluster_(cluster), program_(std::move(program)), key_(std::move(key)) {}

void Booking::Start(int daemon) {
  const auto address = cluster_.daemon(daemon).address();
  auto& loop = cluster_.fiber().loop();
  loop.Spawn([shared = shared_, &cluster = cluster_, address,
              program = program_, key = key_](Fiber& fiber) {
    shared->answer = Send(fiber, cluster, address, program, key);
    shared->ended = true;
  });
}

const harness::CallAnswer& Booking::Wait() {
  cluster_.WaitFor("the call to end", [this] { return shared_->ended; });
  return shared_->answer;
}

harness::CallAnswer Booking::Try(int daemon) {
  return Send(cluster_.fiber(), cluster_, cluster_.daemon(daemon).address(),
              program_, key_);
}

harness::CallAnswer Booking::Settle(int first) {
  harness::CallAnswer answer;
  int next = first;
  cluster_.WaitFor("the call to be settled", [&] {
    answer = Try(next);
    next = (next + 1) % cluster_.daemons();
    return Final(answer);
  });
  return answer;
}

std::size_t Booking::Runs() const {
  std::size_t out = 0;
  for (const auto& it : cluster_.ToolRuns(kTool)) {
    out += it["key"] == key_ ? 1 : 0;
  }
  return out;
}

}  // namespace comfreyfold::process
