#ifndef CORE_GRANT_USE_H_
#define CORE_GRANT_USE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace comfreyfold {

// A grant of a customer's budget, by the run of the daemon that holds it.
struct GrantName {
  std::string customer;
  std::string grant;
  auto operator<=>(const GrantName&) const = default;
};

// What the calls of a lane used of a grant, within that lane's state.
struct GrantTotal {
  GrantName name;
  std::int64_t tokens = 0;

  bool operator==(const GrantTotal&) const = default;
};

// What the calls of one lane used of a grant, or may yet use at most.
struct GrantUse {
  int lane = 0;
  GrantName name;
  std::int64_t tokens = 0;
};

// Asks lane owners what their journals prove of grants.
struct GrantQuestion {
  std::vector<GrantName> grants;
};

// One owner's answer: the lanes it proved to own when asked, and the uses
// in them; no entry means none.
struct GrantAnswer {
  std::vector<int> lanes;
  std::vector<GrantUse> uses;
};

// Puts the answers of all owners together.
class GrantTally {
 public:
  void Add(const GrantAnswer& answer);

  // True once every one of `lanes` lanes has been answered for.
  bool Complete(int lanes) const;
  std::int64_t Total(const GrantName& name) const;

 private:
  // A lane that moved between the answers counts with its later, larger one.
  std::map<int, std::map<GrantName, std::int64_t>> by_lane_;
};

}  // namespace comfreyfold

#endif  // CORE_GRANT_USE_H_
