#ifndef CORE_SERVER_HEALTH_H_
#define CORE_SERVER_HEALTH_H_

#include <cstdint>
#include <random>
#include <set>
#include <vector>

#include "core/time_point.h"

namespace comfreyfold {

// What the answers of one backend server, and their absence, say about it, as
// this daemon and others have seen. A server that failed is left alone for a
// while, and then tested by one request at a time.
class ServerHealth {
 public:
  // Whether a request may be sent to the server now.
  bool IsUsable(TimePoint now) const;

  // Records that a request was sent. Returns whether it is a probe, which tests
  // a server that has failed. `random` spreads the probes over the daemons.
  bool RecordSend(TimePoint now, std::mt19937_64& random);
  // Records that the answer to the request sent at `sent_at` has begun.
  void RecordResponseStart(TimePoint sent_at);
  // Records that the request sent at `sent_at` has ended, in whatever way.
  void RecordEnd(TimePoint sent_at, bool is_probe);
  // Records that an answer is complete.
  void RecordSuccess();
  // Records that a request of this daemon failed or stalled, and suspends the
  // server for a time that grows with the failures in a row.
  void RecordFailure(TimePoint now);

  // Records an answer to any daemon. Returns whether this ends the faults that
  // all daemons have seen.
  bool RecordAnswer(TimePoint at);
  // Records a fault that the daemon `origin` has seen. Returns whether the
  // server is faulty by it and was not before.
  bool RecordFault(std::uint64_t origin,
                   TimePoint failed_at,
                   TimePoint now,
                   std::mt19937_64& random);
  // Forgets what the requests of this daemon have shown. Returns the same as
  // RecordAnswer.
  bool RecordRestart(TimePoint now);

  // Returns how many requests have waited for the beginning of an answer for
  // long since any daemon last got one. Counts each of them once.
  int TakeSilences(TimePoint now);

 private:
  // Whether the requests of this daemon speak against the server.
  bool IsFailing() const;
  // Whether the faults that all daemons have seen speak against it.
  bool IsFaulty() const;
  // Leaves a faulty server alone for a time that differs between daemons.
  void Avoid(TimePoint now, std::mt19937_64& random);
  void EraseUnanswered(TimePoint sent_at);

  int consecutive_failures_ = 0;
  // Answers in a row that have begun but broke off or stalled.
  int incomplete_answers_ = 0;
  TimePoint suspended_until_{};
  TimePoint answered_at_{};  // When any daemon last got an answer.
  // Daemons that saw the faults since then, one entry for each fault.
  std::vector<std::uint64_t> faulted_origins_;
  TimePoint faulted_at_{};  // Of the newest of these.
  TimePoint avoided_until_{};
  // When the requests without the beginning of an answer were sent.
  std::multiset<TimePoint> unanswered_;
  bool probing_ = false;
};

}  // namespace comfreyfold

#endif  // CORE_SERVER_HEALTH_H_
