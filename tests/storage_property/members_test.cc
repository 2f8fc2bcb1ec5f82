// Guards against losing a record in a change of the storage members. A record
// that a quorum stored before the change must be found by every quorum after
// it, although only the disks that join a program's replica set copy records.

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "core/storage_list.h"

namespace comfreyfold {
namespace {

constexpr const char* kProgram = "program";

// Returns a random subset of at most `n` disks; RapidCheck supplies the seed.
std::vector<std::string> RandomSubset(std::vector<std::string> disks,
                                      std::size_t n) {
  std::mt19937 random(*rc::gen::arbitrary<unsigned>());
  std::shuffle(disks.begin(), disks.end(), random);
  disks.resize(std::min(n, disks.size()));
  return disks;
}

BOOST_AUTO_TEST_SUITE(members)

RC_BOOST_PROP(quorums_meet_across_a_change, ()) {
  const int losses = *rc::gen::inRange(0, 3);
  const auto min_disks = static_cast<std::size_t>(losses) + 1;
  StorageList list;
  const auto size = *rc::gen::inRange<std::size_t>(min_disks, 10);
  const auto salt = std::to_string(*rc::gen::inRange(0, 1000));
  std::vector<std::string> all;
  for (std::size_t n = 0; n < size; ++n) {
    all.push_back("disk" + salt + "-" + std::to_string(n));
    list.members.push_back({all.back(), "", "", ""});
  }
  const auto before = list.ReplicasOf(kProgram, losses).front();
  const auto stored = RandomSubset(before.disks, before.quorum);
  // `lost` are disks that fail, of which some are removed from the list. One
  // further disk may be removed although it works, because it is to be emptied.
  const auto lost =
      RandomSubset(all, *rc::gen::inRange<std::size_t>(0, min_disks));
  auto removed = RandomSubset(lost, *rc::gen::inRange<std::size_t>(0, 3));
  const auto joining = *rc::gen::inRange<std::size_t>(0, 4);
  if (*rc::gen::arbitrary<bool>()) {
    const auto drained = *rc::gen::elementOf(all);
    if (std::find(lost.begin(), lost.end(), drained) == lost.end()) {
      removed.push_back(drained);
    }
  }
  std::vector<StorageMember> joiners;
  for (std::size_t n = 0; n < joining; ++n) {
    joiners.push_back({"joiner" + salt + "-" + std::to_string(n), "", "", ""});
  }
  const auto change = list.WithChange(joiners, removed);
  RC_PRE(change.next.size() >= min_disks);

  const auto after = change.ReplicasOf(kProgram, losses).back();
  const bool can_copy =
      std::any_of(stored.begin(), stored.end(), [&lost](const auto& disk) {
        return std::find(lost.begin(), lost.end(), disk) == lost.end();
      });
  RC_ASSERT(can_copy);
  const auto gainers = change.NewReplicasOf(kProgram, losses);
  std::size_t holders = 0;
  for (const auto& disk : after.disks) {
    const bool had_record =
        std::find(stored.begin(), stored.end(), disk) != stored.end();
    const bool joins_replicas =
        std::find(gainers.begin(), gainers.end(), disk) != gainers.end();
    holders += had_record || joins_replicas ? 1 : 0;
  }
  RC_ASSERT(holders + after.quorum > after.disks.size());
}

// With as many disks as replicas no other disk takes the place of one that
// leaves, and a use that it stored stayed on one disk alone.
BOOST_AUTO_TEST_CASE(uses_are_on_enough_disks_after_a_replica_has_left) {
  for (const int losses : {1, 2}) {
    StorageList list;
    const auto size = 2 * static_cast<std::size_t>(losses) + 1;
    for (std::size_t n = 0; n < size; ++n) {
      list.members.push_back({"disk" + std::to_string(n), "", "", ""});
    }
    const auto before = list.ReplicasOf(kProgram, losses).front();
    // The use was stored on any quorum, that is, not on `size - quorum` disks.
    for (std::size_t first = 0; first < size; ++first) {
      std::set<std::string> holders;
      for (std::size_t n = 0; n < before.quorum; ++n) {
        holders.insert(before.disks[(first + n) % size]);
      }
      const auto leaving = *holders.begin();
      const auto change = list.WithChange({}, {leaving});
      for (const auto& it : change.NewReplicasOf(kProgram, losses)) {
        holders.insert(it);
      }
      holders.erase(leaving);
      BOOST_TEST(holders.size() >= static_cast<std::size_t>(losses) + 1);
    }
  }
}

// Turns are not copied if no disk leaves, so such changes must be recognized.
BOOST_AUTO_TEST_CASE(only_changes_without_leaving_disks_count_as_joins) {
  StorageList list;
  for (const auto* it : {"a", "b", "c"}) {
    list.members.push_back({it, "", "", ""});
  }
  BOOST_TEST(list.WithChange({{"d", "", "", ""}}, {}).OnlyAddsMembers());
  BOOST_TEST(!list.WithChange({{"d", "", "", ""}}, {"a"}).OnlyAddsMembers());
  BOOST_TEST(!list.WithChange({}, {"a"}).OnlyAddsMembers());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
