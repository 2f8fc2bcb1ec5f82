#ifndef STORAGE_REPLICA_CALLS_H_
#define STORAGE_REPLICA_CALLS_H_

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/hedge_budget.h"
#include "core/storage_list.h"
#include "core/time_point.h"
#include "net/http_client.h"
#include "net/loop.h"
#include "wire/storage_messages.h"

namespace comfreyfold {

// Path of storage requests on a storage daemon; the disk's id follows.
inline constexpr const char* kStoragePath = "/storage/";
// Marks a request that the daemon asked is to pass on.
inline constexpr const char* kRelayHeader = "Comfreyfold-Relay";

using StorageReplies = std::map<std::string, StorageReply>;  // By disk.

// Asks several storage daemons side by side and returns as soon as enough of
// them have answered. One that is dead, frozen or slow costs a hedge, not
// the request.
class ReplicaCalls {
 public:
  ReplicaCalls(Loop& loop, HttpClient& http, std::string data_centre);

  struct Plan {
    std::vector<StorageMember> targets;  // In the order of preference.
    std::size_t first_wave = 1;          // Asked at once; the rest on trouble.
    std::chrono::milliseconds timeout{1000};
  };

  // Asks until `enough` says so of the replies, all have answered or failed,
  // or the time is up.
  StorageReplies Ask(Fiber& fiber,
                     const Plan& plan,
                     const StorageRequest& request,
                     const std::function<bool(const StorageReplies&)>& enough);

  // Asks one; false when it did not answer.
  bool AskOne(Fiber& fiber,
              const StorageMember& target,
              const StorageRequest& request,
              std::chrono::milliseconds timeout,
              StorageReply& reply);

  // Near before far, those that answered lately before those that did not.
  std::vector<StorageMember> InOrder(std::vector<StorageMember> members) const;

  // Whether something may be sent once more; uses up a part of the budget.
  bool MayRepeat() { return hedges_.TrySpend(); }

  // Other daemons that can pass a request on when the way to a storage daemon
  // is cut.
  void RelayBy(std::function<std::vector<std::string>()> relays) {
    relays_ = std::move(relays);
  }

  // Told of each storage daemon that stops or starts to answer.
  void OnReachable(std::function<void(const StorageMember&, bool)> hook) {
    on_reachable_ = std::move(hook);
  }

 private:
  struct Round;
  enum class Sent {
    kAnswered,
    kNoConnection,  // The way may be cut: others may still reach it.
    kNoAnswer,      // It has the request, and is slow, frozen or dead.
  };
  struct Failure {
    TimePoint at;
    Sent how = Sent::kNoAnswer;
  };

  void Start(const std::shared_ptr<Round>& round, std::size_t n);
  Sent SendTo(Fiber& fiber,
              const std::string& address,
              const std::string& disk,
              const std::string& body,
              bool relayed,
              std::chrono::milliseconds timeout,
              StorageReply& reply);
  bool SendByRelay(Fiber& fiber,
                   const Round& round,
                   std::size_t n,
                   StorageReply& reply);
  void Probe(const StorageMember& member);
  bool Suspected(const StorageMember& member) const;
  bool Cut(const StorageMember& member) const;
  void Note(const StorageMember& member, Sent sent);

  Loop& loop_;
  HttpClient& http_;
  std::string data_centre_;
  std::map<std::string, Failure> failed_;       // The last one, by address.
  std::map<std::string, TimePoint> probed_at_;  // By address.
  std::function<std::vector<std::string>()> relays_;
  std::string good_relay_;
  HedgeBudget hedges_;
  std::function<void(const StorageMember&, bool)> on_reachable_;
};

}  // namespace comfreyfold

#endif  // STORAGE_REPLICA_CALLS_H_
