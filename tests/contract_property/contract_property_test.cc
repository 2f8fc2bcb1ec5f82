#include <map>
#include <optional>
#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "core/contract_guard.h"
#include "core/contract_table.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;
using TimePoint = ContractGuard::TimePoint;

constexpr milliseconds kFreezeGap{1000};
constexpr milliseconds kGrace{2000};
constexpr milliseconds kBound{5000};

// The naive store: every revision ever written, the newest in force.
class Service {
 public:
  void Change(int customer, std::int64_t budget) {
    auto next = sets_.back();
    ++next.revision;
    const auto name = "c" + std::to_string(customer);
    std::erase_if(next.contracts, [&name](const ContractText& it) {
      return it.customer == name;
    });
    if (budget > 0) {
      next.contracts.push_back({name, Text(name, budget)});
    }
    sets_.push_back(next);
  }
  const ContractSet& newest() const { return sets_.back(); }
  const ContractSet& at(std::size_t index) const {
    return sets_[index % sets_.size()];
  }

  static std::string Text(const std::string& name, std::int64_t budget) {
    return "[customer]\nname = " + name +
           "\napi_key_sha256 = " + std::string(63, 'a') + name.back() +
           "\n[budget]\ntokens = " + std::to_string(budget) + "\n";
  }

 private:
  std::vector<ContractSet> sets_{ContractSet{}};
};

std::int64_t BudgetIn(const ContractSet& set, const std::string& name) {
  for (const auto& it : set.contracts) {
    if (it.customer == name) {
      return ParseContract(it.text, name).budget_tokens;
    }
  }
  return -1;
}

BOOST_AUTO_TEST_SUITE(contract_property)

BOOST_AUTO_TEST_CASE(never_an_older_revision_after_a_newer) {
  const bool held = rc::check("answers late and out of order", [] {
    Service service;
    ContractTable table;
    std::int64_t newest_taken = -1;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        60, rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 50)));
    for (const auto& [kind, amount] : steps) {
      if (kind < 3) {
        service.Change(kind, amount);
        continue;
      }
      // An answer of any age arrives.
      const auto set = service.at(static_cast<std::size_t>(amount));
      const bool taken = table.Update(set);
      RC_ASSERT(taken == (set.revision > newest_taken));
      newest_taken = std::max(newest_taken, set.revision);
      RC_ASSERT(table.revision() == newest_taken);
      for (const auto* name : {"c0", "c1", "c2"}) {
        const auto contract = table.FindByName(name);
        RC_ASSERT((contract ? contract->budget_tokens : -1) ==
                  BudgetIn(table.set(), name));
      }
    }
  });
  BOOST_TEST(held);
}

// One daemon's clock and view, driven with the loop's own steps: the guard
// may say "serve" only with a revision that was the newest less than the
// bound ago, whatever froze or was cut off.
BOOST_AUTO_TEST_CASE(no_old_contract_is_served_past_the_bound) {
  const bool held = rc::check("freezes, cuts and peers", [] {
    ContractGuard guard(kFreezeGap, kGrace);
    TimePoint now{std::chrono::hours(1)};
    std::int64_t newest = 1;
    // When each revision stopped being the newest.
    std::map<std::int64_t, TimePoint> replaced_at;
    std::int64_t mine = 1;
    guard.Tick(now);
    guard.Confirm(mine, now);
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        200, rc::gen::pair(rc::gen::inRange(0, 20), rc::gen::inRange(1, 12)));
    bool service_up = true;
    for (const auto& [kind, amount] : steps) {
      if (kind == 0) {
        replaced_at[newest] = now;
        ++newest;
      } else if (kind == 1) {
        service_up = !service_up;
      } else if (kind == 2) {
        // Frozen for up to 12 s: neither ticks nor heartbeats; the others
        // go on and change the contracts.
        replaced_at[newest] = now;
        ++newest;
        now += milliseconds(1000 * amount);
      } else {
        now += milliseconds(100);
      }
      if (guard.Evaluate(now) == ContractGuard::Decision::kServe &&
          replaced_at.contains(mine)) {
        RC_ASSERT(now - replaced_at[mine] <= kBound);
      }
      // The loop's round: a heartbeat from a peer that is up to date, and
      // the poll when the service answers.
      guard.ObserveRevision(newest, now);
      if (service_up && amount > 3) {
        mine = newest;
        guard.Confirm(mine, now);
      }
    }
  });
  BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(an_outage_alone_never_stops_serving) {
  ContractGuard guard(kFreezeGap, kGrace);
  TimePoint now{std::chrono::hours(1)};
  guard.Confirm(7, now);
  for (int i = 0; i < 36000; ++i) {
    now += milliseconds(100);
    guard.ObserveRevision(7, now);
    BOOST_REQUIRE((guard.Evaluate(now) == ContractGuard::Decision::kServe));
  }
}

BOOST_AUTO_TEST_CASE(a_question_put_before_the_freeze_confirms_nothing) {
  ContractGuard guard(kFreezeGap, kGrace);
  const TimePoint start{std::chrono::hours(1)};
  guard.Tick(start);
  const auto woke = start + std::chrono::seconds(30);
  BOOST_TEST((guard.Evaluate(woke) == ContractGuard::Decision::kReloadFirst));
  guard.Confirm(1, start);
  BOOST_TEST((guard.Evaluate(woke) == ContractGuard::Decision::kReloadFirst));
  guard.Confirm(1, woke);
  BOOST_TEST((guard.Evaluate(woke) == ContractGuard::Decision::kServe));
}

BOOST_AUTO_TEST_CASE(an_unreadable_contract_leaves_the_old_one) {
  ContractTable table;
  BOOST_TEST(table.Update({1, {{"c0", Service::Text("c0", 5)}}}));
  BOOST_TEST(table.Update({2, {{"c0", "[customer]\nname = c0\n"}}}));
  BOOST_REQUIRE(table.FindByName("c0"));
  BOOST_TEST(table.FindByName("c0")->budget_tokens == 5);
  BOOST_TEST(table.faults().size() == 1U);
  BOOST_TEST(table.Update({3, {}}));
  BOOST_TEST(!table.FindByName("c0"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
