#include "core/request_quarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace comfreyfold {

namespace {
constexpr std::chrono::milliseconds kFirstQuarantine{60000};
// Growth of the quarantine with each retry that crashes a server.
constexpr int kRequestGrowth = 8;
constexpr int kTargetGrowth = 2;
// Multiple of the quarantine over which the retries of the daemons are spread.
constexpr double kRetrySpread = 4;
constexpr std::chrono::milliseconds kLongestTargetQuarantine{8 * 60000};
// Until all daemons know of a quarantine, and what they sent before has ended.
constexpr std::chrono::milliseconds kReportTime{10000};
// Time after which a retry that had no outcome is repeated.
constexpr std::chrono::milliseconds kRetryTimeout{30000};
// Must outlast the quarantine, so that the next crash lengthens it.
constexpr std::chrono::milliseconds kRetention{24 * 3600000};
constexpr std::chrono::milliseconds kExpiryInterval{1000};
// Bounds the memory and the bytes between daemons when many servers crash at
// the same time.
constexpr std::size_t kMaxRuns = 4096;

// Returns how many retries after a quarantine the crashes come from. Crashes of
// attempts that were sent before all daemons knew of the quarantine are none.
std::size_t RetriesAmong(std::vector<TimePoint> crash_times) {
  std::sort(crash_times.begin(), crash_times.end());
  std::size_t out = 0;
  for (auto n = RequestQuarantine::kMaxCrashes; n < crash_times.size(); ++n) {
    out += crash_times[n] - crash_times[n - 1] > kReportTime ? 1 : 0;
  }
  return out;
}

std::chrono::milliseconds QuarantineAfter(std::size_t retries, bool any_body) {
  if (!any_body && retries >= RequestQuarantine::kMaxRetries) {
    return kRetention;
  }
  const auto longest = any_body ? kLongestTargetQuarantine : kRetention;
  auto out = kFirstQuarantine;
  for (std::size_t n = 0; n < retries && out < longest; ++n) {
    out *= any_body ? kTargetGrowth : kRequestGrowth;
  }
  return std::min(out, longest);
}

}  // namespace

bool RequestQuarantine::Record(const SuspectRun& run,
                               TimePoint now,
                               ReportSource source) {
  if (now - expired_at_ > kExpiryInterval) {
    expired_at_ = now;
    Expire(now);
  }
  if (run.age > kRetention || run.fingerprint == 0 || run.server.empty()) {
    return false;
  }
  if (run_count_ >= kMaxRuns) {
    MakeRoom();
  }
  auto& request = requests_[run.fingerprint];
  request.any_body = run.any_body;
  const auto crashes_before = request.crashes.size();
  const Run recorded{now - run.age, now, source, run.had_output};
  const bool is_new = run.crashed ? RecordCrash(request, run.server, recorded)
                                  : RecordAnswer(request, run.server, recorded);
  // Requests at fewer crashes cannot be to blame.
  if (is_new &&
      std::max(crashes_before, request.crashes.size()) >= kMaxCrashes) {
    AssignBlame();
  }
  return is_new;
}

bool RequestQuarantine::RecordCrash(Request& request,
                                    const std::string& server,
                                    const Run& run) {
  if (run.ended_at <= request.answer.ended_at) {
    return false;
  }
  const auto [it, is_new] = request.crashes.try_emplace(server, run);
  if (is_new) {
    ++run_count_;
    return true;
  }
  // Of several runs at one server, the one without output may have crashed it.
  if (it->second.had_output && !run.had_output) {
    it->second = run;
    return true;
  }
  return false;
}

bool RequestQuarantine::RecordAnswer(Request& request,
                                     const std::string& server,
                                     const Run& run) {
  // The age of one answer differs by some milliseconds if it was reported by
  // several ways.
  const bool is_known =
      request.answered_by == server && request.crashes.empty();
  if (is_known || run.ended_at <= request.answer.ended_at) {
    return false;
  }
  run_count_ += request.answered_by.empty() ? 1 : 0;
  request.answered_by = server;
  request.answer = run;
  run_count_ -= std::erase_if(request.crashes, [&run](const auto& it) {
    return it.second.ended_at <= run.ended_at;
  });
  return true;
}

void RequestQuarantine::Expire(TimePoint now) {
  const auto before = requests_.size();
  std::erase_if(requests_, [this, now](const auto& it) {
    auto latest = it.second.answer.ended_at;
    for (const auto& [server, run] : it.second.crashes) {
      latest = std::max(latest, run.ended_at);
    }
    if (now - latest <= kRetention) {
      return false;
    }
    run_count_ -= it.second.crashes.size();
    run_count_ -= it.second.answered_by.empty() ? 0 : 1;
    return true;
  });
  if (requests_.size() != before) {
    AssignBlame();
  }
}

void RequestQuarantine::MakeRoom() {
  const auto rank = [](const Request& request) {
    auto first = request.answer.recorded_at;
    for (const auto& [server, run] : request.crashes) {
      first = std::max(first, run.recorded_at);
    }
    return std::pair(request.crashes.size(), first);
  };
  const auto it = std::min_element(requests_.begin(), requests_.end(),
                                   [&rank](const auto& a, const auto& b) {
                                     return rank(a.second) < rank(b.second);
                                   });
  run_count_ -= it->second.crashes.size();
  run_count_ -= it->second.answered_by.empty() ? 0 : 1;
  requests_.erase(it);
  AssignBlame();
}

// Of two requests that explain equally much, the later one may owe a crash to
// the earlier one.
bool RequestQuarantine::Candidate::IsLikelierThan(
    const Candidate& other) const {
  return std::make_tuple(servers.size(), without_output, other.any_body,
                         other.latest) > std::make_tuple(other.servers.size(),
                                                         other.without_output,
                                                         any_body, latest);
}

bool RequestQuarantine::Candidate::ExplainsSameAs(
    const Candidate& other) const {
  return any_body == other.any_body && servers == other.servers &&
         without_output == other.without_output;
}

std::vector<RequestQuarantine::Candidate> RequestQuarantine::Candidates(
    const std::set<std::string>& explained) const {
  std::vector<Candidate> out;
  for (const auto& [fingerprint, request] : requests_) {
    if (request.crashes.size() < kMaxCrashes) {
      continue;
    }
    Candidate candidate;
    candidate.fingerprint = fingerprint;
    candidate.any_body = request.any_body;
    for (const auto& [server, run] : request.crashes) {
      if (explained.count(server) == 0) {
        candidate.servers.insert(server);
        candidate.crash_times.push_back(run.ended_at);
        candidate.without_output += run.had_output ? 0 : 1;
        candidate.latest = std::max(candidate.latest, run.ended_at);
      }
    }
    if (candidate.servers.size() >= kMaxCrashes) {
      out.push_back(std::move(candidate));
    }
  }
  return out;
}

// Takes the likeliest request first, and leaves to the others only what it does
// not explain. Requests that do not differ are all blamed.
void RequestQuarantine::AssignBlame() {
  const auto before = std::exchange(blamed_, {});
  std::set<std::string> explained;
  for (auto candidates = Candidates(explained); !candidates.empty();
       candidates = Candidates(explained)) {
    const auto best = std::min_element(
        candidates.begin(), candidates.end(),
        [](const auto& a, const auto& b) { return a.IsLikelierThan(b); });
    for (const auto& it : candidates) {
      if (it.ExplainsSameAs(*best)) {
        const auto known = before.find(it.fingerprint);
        blamed_[it.fingerprint] = {
            QuarantineAfter(RetriesAmong(it.crash_times), it.any_body),
            it.latest,
            known == before.end() ? kDistantPast : known->second.retried_at};
      }
    }
    explained.insert(best->servers.begin(), best->servers.end());
  }
}

bool RequestQuarantine::IsSuspect(std::uint64_t fingerprint) const {
  const auto it = requests_.find(fingerprint);
  return it != requests_.end() && !it->second.crashes.empty();
}

std::chrono::milliseconds RequestQuarantine::TimeLeft(
    const RequestFingerprint& fingerprint,
    TimePoint now) const {
  return std::max(TimeLeftOf(fingerprint.request, now),
                  TimeLeftOf(fingerprint.target, now));
}

std::chrono::milliseconds RequestQuarantine::TimeLeftOf(
    std::uint64_t fingerprint,
    TimePoint now) const {
  const auto it = blamed_.find(fingerprint);
  if (it == blamed_.end()) {
    return std::chrono::milliseconds(0);
  }
  const auto& blame = it->second;
  const std::chrono::duration<double, std::milli> delay =
      blame.time * kRetrySpread * delay_share_;
  const auto until =
      std::max(blame.latest + blame.time +
                   std::chrono::duration_cast<std::chrono::milliseconds>(delay),
               blame.retried_at + kRetryTimeout);
  return std::max(std::chrono::milliseconds(0),
                  std::chrono::ceil<std::chrono::milliseconds>(until - now));
}

bool RequestQuarantine::RecordSend(const RequestFingerprint& fingerprint,
                                   TimePoint now) {
  bool out = false;
  for (const auto part : {fingerprint.request, fingerprint.target}) {
    const auto it = blamed_.find(part);
    if (it != blamed_.end()) {
      it->second.retried_at = now;
      out = true;
    }
  }
  return out;
}

std::vector<SuspectRun> RequestQuarantine::Select(
    TimePoint now,
    const RunFilter& filter) const {
  std::vector<SuspectRun> out;
  const auto add = [&](const auto& entry, const std::string& server,
                       bool crashed, const Run& run) {
    if (filter(entry.first, run)) {
      out.push_back({entry.first, server, crashed,
                     std::chrono::duration_cast<std::chrono::milliseconds>(
                         now - run.ended_at),
                     run.had_output, entry.second.any_body});
    }
  };
  for (const auto& it : requests_) {
    for (const auto& [server, run] : it.second.crashes) {
      add(it, server, true, run);
    }
    if (!it.second.answered_by.empty()) {
      add(it, it.second.answered_by, false, it.second.answer);
    }
  }
  return out;
}

std::vector<SuspectRun> RequestQuarantine::RecordedSince(TimePoint since,
                                                         TimePoint now) const {
  return Select(now, [since](std::uint64_t, const Run& run) {
    return run.recorded_at > since;
  });
}

std::vector<SuspectRun> RequestQuarantine::LocalSince(TimePoint since,
                                                      TimePoint now) const {
  return Select(now, [since](std::uint64_t, const Run& run) {
    return run.recorded_at > since && run.source == ReportSource::kLocal;
  });
}

std::vector<SuspectRun> RequestQuarantine::BlamedRuns(TimePoint now) const {
  return Select(now, [this](std::uint64_t fingerprint, const Run&) {
    return blamed_.count(fingerprint) > 0;
  });
}

std::vector<std::uint64_t> RequestQuarantine::BlamedRequests() const {
  std::vector<std::uint64_t> out;
  for (const auto& [fingerprint, blame] : blamed_) {
    out.push_back(fingerprint);
  }
  return out;
}

std::uint64_t RequestQuarantine::HashOfBlamed() const {
  std::uint64_t out = 0;
  for (const auto& [fingerprint, blame] : blamed_) {
    out ^= fingerprint;
  }
  return out;
}

}  // namespace comfreyfold
