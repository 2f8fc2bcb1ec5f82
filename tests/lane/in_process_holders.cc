#include "lane/in_process_holders.h"

#include "harness/test_folder.h"
#include "wire/codec.h"

namespace comfreyfold::lane {

namespace fs = std::filesystem;

namespace {
constexpr std::chrono::milliseconds kRequestDelay{1};
}  // namespace

ScratchFolder::ScratchFolder() : path_(harness::MakeTestFolder()) {}

ScratchFolder::~ScratchFolder() {
  std::error_code ec;
  fs::remove_all(path_, ec);
}

std::string ScratchFolder::Sub(const std::string& name) const {
  return (path_ / name).string();
}

InProcessHolders::InProcessHolders(const std::set<std::string>& daemons) {
  for (const auto& it : daemons) {
    Restart(it);
  }
}

void InProcessHolders::Restart(const std::string& daemon) {
  const auto folder = folder_.Sub(daemon);
  fs::create_directories(folder);
  spools_[daemon] = std::make_unique<BlockSpool>(folder, log_);
  spools_[daemon]->OnDurableWrite([this] { ++durable_writes_; });
}

void InProcessHolders::ReplaceDisk(const std::string& daemon) {
  fs::remove_all(folder_.Sub(daemon));
  Restart(daemon);
}

void InProcessHolders::SetDown(const std::string& daemon, bool down) {
  if (down) {
    down_.insert(daemon);
  } else {
    down_.erase(daemon);
  }
}

void InProcessHolders::SetListed(const std::string& daemon, bool listed) {
  if (listed) {
    unlisted_.erase(daemon);
  } else {
    unlisted_.insert(daemon);
  }
}

void InProcessHolders::LoseAnswers(const std::string& daemon, int count) {
  lost_answers_[daemon] = count;
}

std::size_t InProcessHolders::held() const {
  std::size_t out = 0;
  for (const auto& [daemon, spool] : spools_) {
    out += spool->held();
  }
  return out;
}

std::vector<SpoolHolder> InProcessHolders::Choose(int /*lane*/) {
  std::vector<SpoolHolder> out;
  for (const auto& [daemon, spool] : spools_) {
    if (!down_.contains(daemon) && out.size() < kHoldersPerLane) {
      out.push_back(HolderOf(daemon));
    }
  }
  return out.size() < kHoldersPerLane ? std::vector<SpoolHolder>() : out;
}

bool InProcessHolders::IsAvailable(const SpoolHolder& holder) {
  return !down_.contains(holder.daemon) && HolderOf(holder.daemon) == holder;
}

bool InProcessHolders::MayReturn(Fiber& /*fiber*/, const SpoolHolder& holder) {
  return !unlisted_.contains(holder.daemon) &&
         HolderOf(holder.daemon) == holder;
}

SpoolAnswer InProcessHolders::Ask(
    Fiber& fiber,
    const std::string& daemon,
    const std::function<SpoolAnswer(BlockSpool&)>& ask) {
  fiber.Sleep(kRequestDelay);
  if (down_.contains(daemon)) {
    return {SpoolStatus::kNoAnswer, {}};
  }
  const auto writes = durable_writes_;
  auto out = ask(*spools_.at(daemon));
  if (slow_disks_ && durable_writes_ > writes) {
    return {SpoolStatus::kNoAnswer, {}};
  }
  if (lost_answers_[daemon] > 0) {
    --lost_answers_[daemon];
    return {SpoolStatus::kNoAnswer, {}};
  }
  return out;
}

SpoolStatus InProcessHolders::Store(Fiber& fiber,
                                    const SpoolHolder& holder,
                                    int lane,
                                    const LaneBlock& block) {
  return Ask(fiber, holder.daemon,
             [&](BlockSpool& spool) {
               return spool.Store({holder.spool, lane, block.epoch,
                                   block.number, Encode(block)});
             })
      .status;
}

SealAnswer InProcessHolders::Seal(Fiber& fiber,
                                  const SpoolHolder& holder,
                                  int lane,
                                  std::int64_t epoch,
                                  std::int64_t number) {
  const auto answer = Ask(fiber, holder.daemon, [&](BlockSpool& spool) {
    return spool.Seal({holder.spool, lane, epoch, number, {}});
  });
  if (after_seal_) {
    const auto hook = std::move(after_seal_);
    after_seal_ = nullptr;
    hook(fiber);
  }
  SealAnswer out{answer.status, {}};
  for (const auto& it : answer.blocks) {
    out.blocks.push_back(DecodeLaneBlock(it));
  }
  return out;
}

SpoolStatus InProcessHolders::Forget(Fiber& fiber,
                                     const SpoolHolder& holder,
                                     int lane,
                                     std::int64_t number) {
  return Ask(fiber, holder.daemon,
             [&](BlockSpool& spool) {
               return spool.Forget({holder.spool, lane, 0, number, {}});
             })
      .status;
}

}  // namespace comfreyfold::lane
