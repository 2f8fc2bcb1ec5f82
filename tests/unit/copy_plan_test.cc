#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "core/copy_plan.h"
#include "core/hash.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr int kLosses = 1;
constexpr int kTurns = 500;
constexpr std::size_t kAll = 1000;

StorageMember MemberOf(const std::string& disk) {
  return {disk, "vm-" + disk, "127.0.0.1:1", "north"};
}

// A change in which the disks `e` and `f` take the places of `a` and `b`.
StorageList Change() {
  StorageList out;
  out.epoch = 2;
  for (const auto* it : {"a", "b", "c", "d", "g"}) {
    out.members.push_back(MemberOf(it));
  }
  for (const auto* it : {"c", "d", "g", "e", "f"}) {
    out.next.push_back(MemberOf(it));
  }
  return out;
}

std::size_t IndexOf(const StorageList& list, const std::string& disk) {
  const auto all = list.AllMembers();
  return static_cast<std::size_t>(std::distance(
      all.begin(), std::find_if(all.begin(), all.end(), [&](const auto& it) {
        return it.disk == disk;
      })));
}

TurnDigest DigestOf(const std::set<std::string>& ids,
                    milliseconds expires_at = milliseconds(1000)) {
  TurnDigest out;
  for (const auto& it : ids) {
    out.push_back({TurnKey::Of(it), expires_at});
  }
  return UnpackDigest(PackDigest(out));
}

std::set<TurnKey> KeysOf(
    const std::map<std::size_t, std::vector<TurnKey>>& turns) {
  std::set<TurnKey> out;
  for (const auto& [member, keys] : turns) {
    out.insert(keys.begin(), keys.end());
  }
  return out;
}

using Content = std::map<std::string, std::set<std::string>>;  // By disk.

CopyPlan PlanOf(const StorageList& list,
                const std::string& disk,
                const Content& content,
                const std::set<std::string>& reachable = {},
                std::size_t attempt = 0) {
  CopyPlan out(list, disk, kLosses, reachable, attempt);
  for (const auto& [holder, ids] : content) {
    out.Add(IndexOf(list, holder), DigestOf(ids));
  }
  return out;
}

// Turns on two of the old disks each.
Content ContentBefore(const StorageList& list) {
  Content out;
  for (int n = 0; n < kTurns; ++n) {
    const auto id = "t" + std::to_string(n);
    std::vector<std::string> disks;
    for (const auto& it : list.members) {
      disks.push_back(it.disk);
    }
    disks = RendezvousOrder("chain-" + id, std::move(disks));
    out[disks[0]].insert(id);
    out[disks[1]].insert(id);
  }
  return out;
}

BOOST_AUTO_TEST_SUITE(copy_plan)

BOOST_AUTO_TEST_CASE(each_turn_ends_on_a_disk_more_than_may_be_lost) {
  const auto list = Change();
  const auto before = ContentBefore(list);
  auto after = before;
  for (const auto& member : list.next) {
    auto plan = PlanOf(list, member.disk, before);
    BOOST_TEST(!plan.Advance(kAll));
    const auto fetched = KeysOf(plan.fetches());
    for (int n = 0; n < kTurns; ++n) {
      const auto id = "t" + std::to_string(n);
      if (fetched.count(TurnKey::Of(id)) > 0) {
        after[member.disk].insert(id);
      }
    }
  }
  for (int n = 0; n < kTurns; ++n) {
    const auto id = "t" + std::to_string(n);
    const auto held =
        std::count_if(list.next.begin(), list.next.end(),
                      [&](const auto& it) { return after[it.disk].count(id); });
    BOOST_TEST(held == kLosses + 1);
  }
}

// Disks of both builds take part in one change.
BOOST_AUTO_TEST_CASE(receivers_are_those_of_builds_that_hash_ids) {
  const auto list = Change();
  for (int n = 0; n < kTurns; ++n) {
    const auto id = "t" + std::to_string(n);
    const auto order = RendezvousOrder(id, {"d", "g", "e", "f"});
    for (const auto& member : list.next) {
      auto plan = PlanOf(list, member.disk, {{"c", {id}}});
      plan.Advance(kAll);
      BOOST_TEST(plan.fetches().empty() == (member.disk != order.front()));
    }
  }
}

BOOST_AUTO_TEST_CASE(sources_are_disks_with_a_copy_and_share_the_load) {
  const auto list = Change();
  const auto before = ContentBefore(list);
  std::map<std::string, int> load;
  const auto all = list.AllMembers();
  for (const auto& member : list.next) {
    auto plan = PlanOf(list, member.disk, before);
    plan.Advance(kAll);
    for (const auto& [source, keys] : plan.fetches()) {
      for (const auto& id : before.at(all[source].disk)) {
        load[all[source].disk] += static_cast<int>(
            std::count(keys.begin(), keys.end(), TurnKey::Of(id)));
      }
    }
  }
  int sum = 0;
  for (const auto& [disk, turns] : load) {
    sum += turns;
  }
  for (const auto& [disk, turns] : load) {
    BOOST_TEST(turns < sum / 2);
  }
}

BOOST_AUTO_TEST_CASE(next_attempt_asks_another_disk) {
  const auto list = Change();
  const Content content{{"a", {"t"}}, {"b", {"t"}}};
  std::set<std::size_t> sources;
  for (const auto attempt : {0U, 1U}) {
    for (const auto& member : list.next) {
      auto plan = PlanOf(list, member.disk, content, {}, attempt);
      plan.Advance(kAll);
      for (const auto& [source, keys] : plan.fetches()) {
        sources.insert(source);
      }
    }
  }
  BOOST_TEST(sources.size() == 2U);
}

BOOST_AUTO_TEST_CASE(copies_that_expire_early_do_not_count) {
  const auto list = Change();
  CopyPlan plan(list, "c", kLosses, {"d"}, 0);
  plan.Add(IndexOf(list, "c"), DigestOf({"t"}, milliseconds(2000)));
  plan.Add(IndexOf(list, "d"), DigestOf({"t"}, milliseconds(1000)));
  plan.Advance(kAll);
  BOOST_REQUIRE(plan.sends().size() == 1U);
  BOOST_TEST(plan.sends().begin()->first == IndexOf(list, "d"));
}

BOOST_AUTO_TEST_CASE(first_holder_alone_sends_to_disks_that_have_copied) {
  const auto list = Change();
  const Content content{{"c", {"t"}}};
  auto own = PlanOf(list, "c", content, {"g"});
  own.Advance(kAll);
  BOOST_REQUIRE(own.sends().size() == 1U);
  BOOST_TEST(own.sends().begin()->first == IndexOf(list, "g"));
  auto other = PlanOf(list, "d", content, {"g"});
  other.Advance(kAll);
  BOOST_TEST(other.sends().empty());
}

BOOST_AUTO_TEST_CASE(step_looks_at_no_more_turns_than_asked) {
  const auto list = Change();
  auto plan = PlanOf(list, "e", {{"c", {"t1", "t2", "t3"}}});
  BOOST_TEST(plan.Advance(3));
  BOOST_TEST(!plan.Advance(1));
}

BOOST_AUTO_TEST_CASE(packed_digest_is_read_back_in_order) {
  TurnDigest digest{{TurnKey::Of("a"), milliseconds(5)},
                    {TurnKey::Of("b"), milliseconds(0)},
                    {TurnKey::Of("c"), milliseconds(1775376119200)}};
  const auto packed = PackDigest(digest);
  std::sort(digest.begin(), digest.end(),
            [](const auto& a, const auto& b) { return a.key < b.key; });
  BOOST_TEST((UnpackDigest(packed) == digest));
  BOOST_TEST((UnpackDigest(packed + "rest") == digest));
  const std::vector<TurnKey> keys{TurnKey::Of("x"), TurnKey::Of("y")};
  BOOST_TEST((UnpackKeys(PackKeys(keys)) == keys));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
