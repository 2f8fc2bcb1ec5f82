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
constexpr milliseconds kMaxStaleness{5000};

// The reference: a store of all revisions ever written, the newest of which is
// in force.
class ReferenceStore {
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

BOOST_AUTO_TEST_CASE(an_older_revision_never_replaces_a_newer_one) {
  const bool held = rc::check("answers are late and out of order", [] {
    ReferenceStore store;
    ContractTable table;
    std::int64_t newest_applied = -1;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        60, rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 50)));
    for (const auto& [kind, amount] : steps) {
      if (kind < 3) {
        store.Change(kind, amount);
        continue;
      }
      // An answer of any age is received.
      const auto set = store.at(static_cast<std::size_t>(amount));
      const bool applied = table.Update(set);
      RC_ASSERT(applied == (set.revision > newest_applied));
      newest_applied = std::max(newest_applied, set.revision);
      RC_ASSERT(table.revision() == newest_applied);
      for (const auto* name : {"c0", "c1", "c2"}) {
        const auto contract = table.FindByName(name);
        RC_ASSERT((contract ? contract->budget_tokens : -1) ==
                  BudgetIn(table.set(), name));
      }
    }
  });
  BOOST_TEST(held);
}

// Simulates the event loop of one daemon. The guard may allow serving only with
// a revision that was the newest at most kMaxStaleness ago, even if the process
// was frozen or the service unreachable.
BOOST_AUTO_TEST_CASE(no_contract_is_served_beyond_the_staleness_limit) {
  const bool held = rc::check("freezes, outages and peers", [] {
    ContractGuard guard(kFreezeGap, kGrace);
    TimePoint now{std::chrono::hours(1)};
    std::int64_t newest = 1;
    // The time at which each revision was replaced by a newer one.
    std::map<std::int64_t, TimePoint> replaced_at;
    std::int64_t loaded = 1;
    guard.Tick(now);
    guard.Confirm(loaded, now);
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        200, rc::gen::pair(rc::gen::inRange(0, 20), rc::gen::inRange(1, 12)));
    bool store_available = true;
    for (const auto& [kind, amount] : steps) {
      if (kind == 0) {
        replaced_at[newest] = now;
        ++newest;
      } else if (kind == 1) {
        store_available = !store_available;
      } else if (kind == 2) {
        // The process is frozen for up to 12 s, without ticks or heartbeats,
        // while other daemons continue and the contracts change.
        replaced_at[newest] = now;
        ++newest;
        now += milliseconds(1000 * amount);
      } else {
        now += milliseconds(100);
      }
      if (guard.Evaluate(now) == ContractGuard::Decision::kServe &&
          replaced_at.contains(loaded)) {
        RC_ASSERT(now - replaced_at[loaded] <= kMaxStaleness);
      }
      // One round of the loop: a heartbeat from a peer with the newest
      // revision, and a reload if the service answers.
      guard.ObserveRevision(newest, now);
      if (store_available && amount > 3) {
        loaded = newest;
        guard.Confirm(loaded, now);
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

BOOST_AUTO_TEST_CASE(an_answer_requested_before_the_freeze_confirms_nothing) {
  ContractGuard guard(kFreezeGap, kGrace);
  const TimePoint start{std::chrono::hours(1)};
  guard.Tick(start);
  const auto resumed = start + std::chrono::seconds(30);
  BOOST_TEST(
      (guard.Evaluate(resumed) == ContractGuard::Decision::kReloadFirst));
  guard.Confirm(1, start);
  BOOST_TEST(
      (guard.Evaluate(resumed) == ContractGuard::Decision::kReloadFirst));
  guard.Confirm(1, resumed);
  BOOST_TEST((guard.Evaluate(resumed) == ContractGuard::Decision::kServe));
}

BOOST_AUTO_TEST_CASE(an_unreadable_contract_leaves_the_previous_one) {
  ContractTable table;
  BOOST_TEST(table.Update({1, {{"c0", ReferenceStore::Text("c0", 5)}}}));
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
