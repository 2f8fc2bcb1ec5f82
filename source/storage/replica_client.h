#ifndef STORAGE_REPLICA_CLIENT_H_
#define STORAGE_REPLICA_CLIENT_H_

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/adaptive_timeout.h"
#include "core/hedge_budget.h"
#include "core/storage_list.h"
#include "core/time_point.h"
#include "net/http_client.h"
#include "net/loop.h"
#include "storage/send_counts.h"
#include "wire/storage_messages.h"

namespace comfreyfold {

// Path prefix of storage requests on a storage daemon; the disk's id follows.
inline constexpr const char* kStoragePath = "/storage/";
// Marks a request that the receiving daemon forwards to the disk's daemon. The
// value is the time in milliseconds for which the sender waits.
inline constexpr const char* kRelayHeader = "Comfreyfold-Relay";

using StorageReplies = std::map<std::string, StorageReply>;  // By disk.

// Sends a request to several storage daemons in parallel and returns as soon as
// enough of them have answered. If one is dead, frozen or slow, the request is
// sent to a further daemon (hedging), so that the call still succeeds.
class ReplicaClient {
 public:
  ReplicaClient(Loop& loop, HttpClient& http, std::string data_centre);

  struct Plan {
    std::vector<StorageMember> targets;  // Most preferred first.
    // The first `initial_targets` targets are called at once. Others follow
    // after a failure, as hedges, or several at a time when all that were
    // called have answered and it is not enough.
    std::size_t initial_targets = 1;
    std::chrono::milliseconds timeout{1000};
  };

  // Calls the targets of `plan` until `enough` accepts the replies, all targets
  // have answered or failed, or the timeout expires. Returns the replies
  // received so far.
  StorageReplies Call(Fiber& fiber,
                      const Plan& plan,
                      const StorageRequest& request,
                      const std::function<bool(const StorageReplies&)>& enough);

  // Calls a single target. Returns false when it did not answer.
  bool CallOne(Fiber& fiber,
               const StorageMember& target,
               const StorageRequest& request,
               std::chrono::milliseconds timeout,
               StorageReply& reply);

  // Sorts members that answered recently before those that failed, and within
  // each group members of this data centre before the others.
  std::vector<StorageMember> SortByPreference(
      std::vector<StorageMember> members) const;

  // Returns `members` in an order in which each data centre comes once before
  // any comes twice, this one first, and members that failed recently last.
  std::vector<StorageMember> SpreadOverDataCentres(
      std::vector<StorageMember> members) const;

  // Whether the last request to `member` failed, so that it may be dead.
  bool IsFailing(const StorageMember& member) const {
    return last_failures_.count(member.address) > 0;
  }

  // Returns whether a request may be sent again; if so, takes it from the hedge
  // budget.
  bool TakeRetry() { return hedge_budget_.TrySpend(); }

  // Returns the requests sent since the last call.
  SendCounts TakeCounts() { return std::exchange(counts_, {}); }

  // Sets a function that returns the addresses of daemons that can forward a
  // request when a storage daemon cannot be reached directly.
  void SetRelays(std::function<std::vector<std::string>()> relays) {
    relays_ = std::move(relays);
  }

  // Sets a function that is called with each reply, also when the call it
  // belongs to has ended.
  void OnReply(
      std::function<void(const StorageMember&, const StorageReply&)> hook) {
    on_reply_ = std::move(hook);
  }

  // Sets a function that is called with true when a failing storage daemon
  // answers again, and with false when an answering one fails.
  void OnReachabilityChange(
      std::function<void(const StorageMember&, bool)> hook) {
    on_reachability_change_ = std::move(hook);
  }

 private:
  struct MultiCall;
  enum class SendResult {
    kAnswered,
    kNoConnection,  // Not sent. Other daemons may still reach the target.
    kNoAnswer,      // Sent, but the target is slow, frozen or dead.
    kBusy,  // The target has no memory or connection for the request now.
  };
  struct Failure {
    TimePoint at;
    SendResult result = SendResult::kNoAnswer;
  };

  // Starts `n` further targets, as far as there are any. Returns how many.
  int StartNext(const std::shared_ptr<MultiCall>& call, std::size_t n);
  // Makes other calls prefer other targets to those that have not answered for
  // long. Such a target counts as failed unless the request needs the disk.
  void SuspectOverdue(MultiCall& call);
  // Tests whether the targets that have not answered yet can be reached.
  void ProbeWaiting(const MultiCall& call);
  // Records the result of a direct request sent to target `n` at `sent_at`.
  void RecordSent(const MultiCall& call,
                  std::size_t n,
                  TimePoint sent_at,
                  SendResult result,
                  const StorageReply& reply);
  // Takes over what an answer tells about the disk of `member`.
  void ObserveDisk(const StorageMember& member, const StorageReply& reply);
  // Calls target `n` for the first time.
  void StartSend(const std::shared_ptr<MultiCall>& call, std::size_t n);
  // Sends the request to target `n` in a coroutine of its own.
  void Send(const std::shared_ptr<MultiCall>& call, std::size_t n);
  // Sends the request again to targets that were unreachable and no longer are:
  // what they received before may be lost.
  void SendToRegained(const std::shared_ptr<MultiCall>& call);
  // `relay_time` is the value of kRelayHeader; empty: none.
  SendResult SendTo(Fiber& fiber,
                    const std::string& address,
                    const std::string& disk,
                    const std::string& body,
                    const std::string& relay_time,
                    std::chrono::milliseconds timeout,
                    StorageReply& reply);
  // Sends through a relay: the last one that worked first, then others as the
  // hedge budget permits.
  bool SendByRelay(Fiber& fiber,
                   const StorageMember& target,
                   const std::string& body,
                   bool stores_turns,
                   std::chrono::milliseconds timeout,
                   StorageReply& reply);
  // Tests the direct connection to `member` in the background, unless it was
  // tested less than `interval` ago. Needs no disk.
  void Probe(const StorageMember& member,
             std::chrono::milliseconds interval,
             std::chrono::milliseconds timeout);
  // Tests whether `member`, which owes an answer, can be reached.
  void ProbeLate(const StorageMember& member);
  // The time within which `address` answers what needs no disk.
  AdaptiveTimeout& AnswerTime(const std::string& address);
  // Whether a request to `member` failed or was slow recently.
  bool IsSuspected(const StorageMember& member, TimePoint now) const;
  // Whether the daemon at the address of `member` has another disk.
  bool IsReplaced(const StorageMember& member) const;
  // Whether `member` can be reached through relays only: the last direct
  // attempt found no connection, or this daemon is cut off.
  bool NeedsRelay(const StorageMember& member) const;
  // Whether several members have failed since any has answered.
  bool IsCutOff() const;
  // Relays to try, the last one that worked first. Leaves out those that failed
  // recently.
  std::vector<std::string> UsableRelays() const;
  // Records the result of a direct request, and reports a change of
  // reachability.
  void RecordResult(const StorageMember& member, SendResult result);

  Loop& loop_;
  HttpClient& http_;
  std::string data_centre_;
  // The last failure of each address that has not answered since.
  std::map<std::string, Failure> last_failures_;
  std::map<std::string, TimePoint> probed_at_;           // By address.
  std::map<std::string, AdaptiveTimeout> answer_times_;  // By address.
  // When a request that needs the disk was last overdue, by address.
  std::map<std::string, TimePoint> slow_at_;
  // Disks, with the addresses that answered that they have another one. The
  // lists name them until they are replaced there too.
  std::set<std::pair<std::string, std::string>> replaced_;
  // When a failing member last answered again, by address.
  std::map<std::string, TimePoint> regained_at_;
  std::function<std::vector<std::string>()> relays_;
  std::string last_good_relay_;
  std::map<std::string, TimePoint> relay_failed_at_;  // By address.
  TimePoint answered_at_{};  // When any member last answered directly.
  HedgeBudget hedge_budget_;
  SendCounts counts_;
  std::function<void(const StorageMember&, bool)> on_reachability_change_;
  std::function<void(const StorageMember&, const StorageReply&)> on_reply_;
};

}  // namespace comfreyfold

#endif  // STORAGE_REPLICA_CLIENT_H_
