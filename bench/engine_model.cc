#include "engine_model.h"

#include <algorithm>
#include <utility>

namespace comfreyfold::bench {

namespace {
constexpr std::chrono::milliseconds kRefusal{1};
}  // namespace

void EngineModel::Submit(EngineTurn turn) {
  if (failed_) {
    loop_.After(kRefusal, [turn] { turn.done({.failed = true}); });
    return;
  }
  queue_.push_back(std::move(turn));
  StartNext();
}

void EngineModel::StartNext() {
  if (running_ >= costs_.slots || queue_.empty()) {
    return;
  }
  auto turn = std::move(queue_.front());
  queue_.pop_front();
  ++running_;
  EngineTurn::Result result;
  const auto found = memory_.find(turn.program);
  if (found != memory_.end()) {
    result.cached = std::min(found->second.tokens, turn.prompt_tokens);
  }
  result.imported = std::max<std::int64_t>(
      0, std::min(turn.exported_tokens, turn.prompt_tokens) - result.cached);
  auto& entry = memory_[turn.program];
  ++entry.running;
  entry.used = ++clock_;
  // Turns that run need their memory whatever the rest; a context that does
  // not fit at their end is not kept.
  const auto tokens = turn.prompt_tokens + turn.answer_tokens;
  used_tokens_ += tokens - entry.tokens;
  entry.tokens = tokens;
  MakeRoom();
  const auto missing = turn.prompt_tokens - result.cached - result.imported;
  result.service = missing * costs_.prefill_per_token +
                   result.imported * costs_.import_per_token +
                   turn.answer_tokens * costs_.decode_per_token;
  loop_.After(result.service, [this, turn = std::move(turn), result,
                               life = life_] { Finish(turn, result, life); });
}

void EngineModel::Finish(const EngineTurn& turn,
                         EngineTurn::Result result,
                         int life) {
  if (life != life_) {
    turn.done({.failed = true});
    return;
  }
  busy_ += result.service;
  auto& entry = memory_[turn.program];
  --entry.running;
  entry.used = ++clock_;
  MakeRoom();
  const auto kept = memory_.find(turn.program);
  result.kept = kept == memory_.end() ? 0 : kept->second.tokens;
  --running_;
  StartNext();
  turn.done(result);
}

void EngineModel::MakeRoom() {
  while (used_tokens_ > costs_.memory_tokens) {
    auto oldest = memory_.end();
    for (auto it = memory_.begin(); it != memory_.end(); ++it) {
      const bool free = !it->second.pinned && it->second.running == 0;
      if (free &&
          (oldest == memory_.end() || it->second.used < oldest->second.used)) {
        oldest = it;
      }
    }
    if (oldest == memory_.end()) {
      return;
    }
    Release(std::string(oldest->first));
  }
}

void EngineModel::Pin(const std::string& program) {
  const auto it = memory_.find(program);
  if (it != memory_.end()) {
    it->second.pinned = true;
  }
}

void EngineModel::Release(const std::string& program) {
  const auto it = memory_.find(program);
  if (it == memory_.end()) {
    return;
  }
  used_tokens_ -= it->second.tokens;
  it->second.tokens = 0;
  it->second.pinned = false;
  if (it->second.running == 0) {
    memory_.erase(it);
  }
}

void EngineModel::Fail() {
  failed_ = true;
  ++life_;
  running_ = 0;
  used_tokens_ = 0;
  memory_.clear();
  for (const auto& it : std::exchange(queue_, {})) {
    loop_.After(kRefusal, [it] { it.done({.failed = true}); });
  }
}

void ServiceModel::Submit(std::chrono::nanoseconds service,
                          std::function<void()> started,
                          std::function<void()> done) {
  queue_.push_back({service, std::move(started), std::move(done)});
  StartNext();
}

void ServiceModel::StartNext() {
  if (running_ >= slots_ || queue_.empty()) {
    return;
  }
  auto job = std::move(queue_.front());
  queue_.pop_front();
  ++running_;
  job.started();
  loop_.After(job.service, [this, done = std::move(job.done)] {
    --running_;
    StartNext();
    done();
  });
}

}  // namespace comfreyfold::bench
