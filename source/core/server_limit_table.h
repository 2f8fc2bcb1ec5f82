#ifndef CORE_SERVER_LIMIT_TABLE_H_
#define CORE_SERVER_LIMIT_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time_point.h"

namespace comfreyfold {

// What an answer of a backend server said about the rate of requests that the
// server takes from all daemons together.
struct ServerLimit {
  std::string server_id;
  // Start of the server, since the Unix epoch: a limit ends with it.
  std::chrono::milliseconds started{0};
  std::optional<double> per_second;  // Null: the server names no limit.
  std::chrono::milliseconds age{0};  // Since the answer arrived.
};

// The newest word of each server about its limit that any daemon has received.
class ServerLimitTable {
 public:
  // Returns whether this changes the limit of the server. Older words than the
  // one known change nothing.
  bool Record(const ServerLimit& limit, TimePoint now);

  // Records that an answer to a request sent at `sent_at` named no limit.
  // Returns whether this ends the server's limit: an answer to a request that
  // was sent before the limit was last named may be from before the limit.
  bool RecordUnlimited(const std::string& server_id,
                       std::chrono::milliseconds started,
                       TimePoint sent_at,
                       TimePoint now);

  // Requests per second that the server takes in its present start; null if it
  // has not named a limit.
  std::optional<double> Find(const std::string& server_id,
                             std::chrono::milliseconds started) const;
  // The limit of the server's newest start.
  std::optional<double> Find(const std::string& server_id) const;

  // Drops words that are too old to count. Without it they would stay until the
  // next word arrives.
  void DropOld(TimePoint now);

  // Everything known, for daemons that know other limits.
  std::vector<ServerLimit> All(TimePoint now) const;
  // A hash of the servers and their limits, not of the age of the words.
  std::uint64_t Hash() const { return hash_; }
  // Number of changes so far.
  std::uint64_t changes() const { return changes_; }
  // Number of servers with a limit.
  std::size_t limited() const { return limited_; }

 private:
  struct Entry {
    std::chrono::milliseconds started{0};
    std::optional<double> per_second;
    TimePoint named_at{};
  };

  // Returns whether anything was dropped.
  bool Expire(TimePoint now);
  void UpdateHash();

  std::map<std::string, Entry> entries_;
  std::uint64_t hash_ = 0;
  std::uint64_t changes_ = 0;
  std::size_t limited_ = 0;
};

// Returns the text used in log lines; empty without a limit.
std::string LimitText(const std::optional<double>& per_second);

}  // namespace comfreyfold

#endif  // CORE_SERVER_LIMIT_TABLE_H_
