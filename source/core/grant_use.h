#ifndef CORE_GRANT_USE_H_
#define CORE_GRANT_USE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace comfreyfold {

// Identifies a grant of a customer's budget by the run of the daemon that holds
// it.
struct GrantName {
  std::string customer;
  std::string grant;  // Id of the run.
  auto operator<=>(const GrantName&) const = default;
};

// The tokens of a grant that the calls of one lane used, as part of the state
// of that lane.
struct GrantTotal {
  GrantName name;
  std::int64_t tokens = 0;

  bool operator==(const GrantTotal&) const = default;
};

// The tokens of a grant that the calls of one lane used, where calls in flight
// count with the most that they can use.
struct GrantUse {
  int lane = 0;
  GrantName name;
  std::int64_t tokens = 0;
};

// Asks the owners of lanes how much of these grants was used according to their
// journals.
struct GrantQuestion {
  std::vector<GrantName> grants;
};

// One owner's answer: the lanes whose ownership it confirmed after it was
// asked, and the uses in these lanes. A grant without an entry was not used.
struct GrantAnswer {
  std::vector<int> lanes;
  std::vector<GrantUse> uses;
};

// Combines the answers of all owners.
class GrantTally {
 public:
  void Add(const GrantAnswer& answer);

  // True once there is an answer for each of the `lanes` lanes.
  bool Complete(int lanes) const;
  std::int64_t Total(const GrantName& name) const;

 private:
  // A lane that changed its owner between two answers counts with the larger
  // and therefore later one.
  std::map<int, std::map<GrantName, std::int64_t>> by_lane_;
};

}  // namespace comfreyfold

#endif  // CORE_GRANT_USE_H_
