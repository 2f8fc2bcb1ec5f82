// The part of StorageNode that other disks copy from.

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

#include "storage/storage_node.h"

namespace comfreyfold {

namespace {

// Limits of a reply with turns or uses, which many disks may request from this
// one at the same time. The requesting disk asks for the rest again.
constexpr std::size_t kMaxReplyBytes = 256 * 1024;
constexpr std::size_t kMaxReplyUses = 1000;
// A reply that is on its way for as long still counts.
constexpr std::chrono::milliseconds kMaxDigestAge{1000};

}  // namespace

// Computed once per epoch for all disks that copy. Programs that are added
// later need no copying, because they are stored on quorums of the next set as
// well.
const std::vector<std::string>& StorageNode::ProgramsGainedBy(
    const std::string& disk) {
  const auto& list = view_.storage_list();
  if (gained_epoch_ != list.epoch) {
    gained_epoch_ = list.epoch;
    gained_.clear();
    for (const auto& program : tokens_.Programs()) {
      for (const auto& it : list.NewReplicasOf(program, tolerated_losses_)) {
        gained_[it].push_back(program);
      }
    }
  }
  return gained_[disk];
}

StorageReply StorageNode::AnswerSomeUses(const StorageRequest& request) {
  StorageReply reply;
  const auto& programs =
      ProgramsGainedBy(request.ids.empty() ? "" : request.ids.front());
  auto it = std::upper_bound(programs.begin(), programs.end(), request.program);
  for (; it != programs.end() && reply.uses.size() < kMaxReplyUses; ++it) {
    for (auto& use : tokens_.ForProgram(*it)) {
      reply.uses.push_back(std::move(use));
    }
  }
  if (it != programs.end()) {
    reply.ids = {*std::prev(it)};
  }
  return reply;
}

// Holds for one epoch: what a disk stores after it has adopted a list is
// written to enough disks of the next set.
struct StorageNode::KeptDigest {
  std::int64_t epoch = 0;
  std::chrono::steady_clock::time_point made_at;
  TurnDigest entries;
  std::vector<std::string> ids;  // In the order of `entries`.
  std::string packed;
};

const StorageNode::KeptDigest& StorageNode::Digest() {
  const auto now = std::chrono::steady_clock::now();
  const auto epoch = view_.storage_list().epoch;
  if (digest_ && digest_->epoch == epoch &&
      now - digest_->made_at < kMaxDigestAge) {
    return *digest_;
  }
  std::vector<std::pair<DigestEntry, const std::string*>> turns;
  turns.reserve(turns_.size());
  for (const auto* it : turns_.Turns()) {
    turns.push_back({{TurnKey::Of(it->id), it->expires_at}, &it->id});
  }
  std::sort(turns.begin(), turns.end(), [](const auto& a, const auto& b) {
    return a.first.key < b.first.key;
  });
  digest_ = std::make_shared<KeptDigest>();
  digest_->epoch = epoch;
  digest_->made_at = now;
  digest_->entries.reserve(turns.size());
  digest_->ids.reserve(turns.size());
  for (const auto& [entry, id] : turns) {
    digest_->entries.push_back(entry);
    digest_->ids.push_back(*id);
  }
  digest_->packed = PackDigest(digest_->entries);
  return *digest_;
}

TurnDigest StorageNode::TurnsByKey() {
  digest_ = nullptr;
  return Digest().entries;
}

std::vector<std::string> StorageNode::IdsOf(const std::vector<TurnKey>& keys) {
  const auto& digest = Digest();
  std::vector<std::string> out;
  for (const auto& key : keys) {
    const auto it = std::lower_bound(
        digest.entries.begin(), digest.entries.end(), key,
        [](const DigestEntry& a, const TurnKey& b) { return a.key < b; });
    if (it != digest.entries.end() && it->key == key) {
      out.push_back(digest.ids[static_cast<std::size_t>(
          std::distance(digest.entries.begin(), it))]);
    }
  }
  return out;
}

std::vector<std::string> StorageNode::WantedIds(const StorageRequest& request) {
  auto out = request.ids;
  if (!request.keys.empty()) {
    auto ids = IdsOf(request.keys);
    std::move(ids.begin(), ids.end(), std::back_inserter(out));
  }
  return out;
}

StorageReply StorageNode::AnswerDigest(const StorageRequest& request) {
  StorageReply reply;
  if (request.packs) {
    reply.digest = Digest().packed;
    return reply;
  }
  reply.ids = turns_.Ids();
  for (const auto& id : reply.ids) {
    reply.expiries.push_back(turns_.Find(id)->expires_at);
  }
  return reply;
}

StorageReply StorageNode::AnswerFetch(Fiber& fiber,
                                      const StorageRequest& request) {
  StorageReply reply;
  if (!ReadTurns(fiber, WantedIds(request), kMaxReplyBytes, reply.turns)) {
    reply.turns.clear();
    reply.status = StorageStatus::kFailed;
  }
  return reply;
}

}  // namespace comfreyfold
