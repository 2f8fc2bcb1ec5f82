#ifndef CORE_REQUEST_QUARANTINE_H_
#define CORE_REQUEST_QUARANTINE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/load_report_table.h"
#include "core/time_point.h"

namespace comfreyfold {

// Hashes that are the same for all attempts of clients at a request, unlike its
// id. 0 stands for no request.
struct RequestFingerprint {
  std::uint64_t request = 0;  // Of host, method, target and body.
  std::uint64_t target = 0;   // The same for all bodies.
};

// How a run of a request ended that may be one that crashes backend servers.
struct SuspectRun {
  std::uint64_t fingerprint = 0;  // Of the request or of its target.
  std::string server;             // Names one start of a server.
  bool crashed = false;           // Otherwise the server answered.
  std::chrono::milliseconds age{0};
  bool had_output = false;  // A part of the answer arrived before the crash.
  bool any_body = false;    // The fingerprint is that of the target.
};

// The requests that crash the servers which run them, as all daemons together
// have seen. Each further server that runs such a request crashes too, and
// breaks off the other requests that it runs.
//
// A request is quarantined once kMaxCrashes crashes are blamed on it. Then the
// daemons retry it one after the other, after a time that grows with each retry
// that crashes a server too, and no more after kMaxRetries of them. A crash is
// blamed on the request that was running at most crashes, because the others
// happened to run at the same servers; of several, on the one that had no
// output yet at most of them. An answer to a request clears it of the crashes
// before.
//
// All requests for one target count as a request too, because clients may send
// the turn that crashes servers behind other earlier turns each time. They are
// blamed if they explain more than any one of them, and none was answered. They
// are retried sooner, and without end: a target may serve many.
class RequestQuarantine {
 public:
  static constexpr std::size_t kMaxCrashes = 3;
  static constexpr std::size_t kMaxRetries = 3;

  // `delay_share`, from 0 to 1, differs between daemons and says how much later
  // than the first of them this one retries a request.
  explicit RequestQuarantine(double delay_share = 0)
      : delay_share_(delay_share) {}

  // Returns false if the run is known or has expired.
  bool Record(const SuspectRun& run,
              TimePoint now,
              ReportSource source = ReportSource::kLocal);

  // Whether the request was running at a server that crashed and has not been
  // answered since.
  bool IsSuspect(std::uint64_t fingerprint) const;
  // Returns the time for which no server may be sent the request; 0: none.
  std::chrono::milliseconds TimeLeft(const RequestFingerprint& fingerprint,
                                     TimePoint now) const;
  // Records that this daemon sends the request to a server. Returns true if it
  // is a retry after a quarantine. The request is then quarantined here until
  // the retry has had time to end.
  bool RecordSend(const RequestFingerprint& fingerprint, TimePoint now);

  // The runs that this daemon has recorded after `since`.
  std::vector<SuspectRun> RecordedSince(TimePoint since, TimePoint now) const;
  // The same without those from answers.
  std::vector<SuspectRun> LocalSince(TimePoint since, TimePoint now) const;
  // The runs of the requests on which enough crashes are blamed, for daemons
  // that have missed some of them.
  std::vector<SuspectRun> BlamedRuns(TimePoint now) const;
  // Fingerprints of these requests, in ascending order.
  std::vector<std::uint64_t> BlamedRequests() const;
  // Returns a hash of the requests on which enough crashes are blamed; 0: none.
  std::uint64_t HashOfBlamed() const;

  std::size_t blamed() const { return blamed_.size(); }
  std::size_t size() const { return run_count_; }

 private:
  struct Run {
    TimePoint ended_at = kDistantPast;
    TimePoint recorded_at = kDistantPast;
    ReportSource source = ReportSource::kLocal;
    bool had_output = false;
  };
  struct Request {
    bool any_body = false;
    std::map<std::string, Run> crashes;  // By server.
    std::string answered_by;             // Empty if there was no answer.
    Run answer;                          // The latest.
  };
  struct Blame {
    std::chrono::milliseconds time{0};    // Of the quarantine.
    TimePoint latest = kDistantPast;      // Crash.
    TimePoint retried_at = kDistantPast;  // By this daemon.
  };
  struct Candidate {
    std::uint64_t fingerprint = 0;
    bool any_body = false;
    std::set<std::string> servers;  // Whose crashes it may explain.
    std::vector<TimePoint> crash_times;
    std::size_t without_output = 0;
    TimePoint latest = kDistantPast;

    bool IsLikelierThan(const Candidate& other) const;
    bool ExplainsSameAs(const Candidate& other) const;
  };
  using Requests = std::map<std::uint64_t, Request>;
  using RunFilter = std::function<bool(std::uint64_t, const Run&)>;

  std::chrono::milliseconds TimeLeftOf(std::uint64_t fingerprint,
                                       TimePoint now) const;
  bool RecordCrash(Request& request, const std::string& server, const Run& run);
  bool RecordAnswer(Request& request,
                    const std::string& server,
                    const Run& run);
  // Drops requests whose last run has expired.
  void Expire(TimePoint now);
  // Drops the request with the fewest crashes; of several, the oldest.
  void MakeRoom();
  // Decides which requests are to blame for which crashes.
  void AssignBlame();
  // Returns the requests at enough crashes other than those at `explained`.
  std::vector<Candidate> Candidates(
      const std::set<std::string>& explained) const;
  std::vector<SuspectRun> Select(TimePoint now, const RunFilter& filter) const;

  const double delay_share_;
  Requests requests_;  // By fingerprint.
  std::size_t run_count_ = 0;
  std::map<std::uint64_t, Blame> blamed_;  // By fingerprint.
  TimePoint expired_at_ = kDistantPast;
};

}  // namespace comfreyfold

#endif  // CORE_REQUEST_QUARANTINE_H_
