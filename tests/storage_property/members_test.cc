// Changes of the storage members: what a quorum had before, every quorum finds
// after, though only disks that are new to a program's set copy.

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "core/storage_list.h"

namespace comfreyfold {
namespace {

constexpr const char* kProgram = "program";

// `n` of the disks, drawn by RapidCheck.
std::vector<std::string> SomeOf(std::vector<std::string> disks, std::size_t n) {
  std::mt19937 draw(*rc::gen::arbitrary<unsigned>());
  std::shuffle(disks.begin(), disks.end(), draw);
  disks.resize(std::min(n, disks.size()));
  return disks;
}

BOOST_AUTO_TEST_SUITE(members)

RC_BOOST_PROP(quorums_meet_across_a_change, ()) {
  const int losses = *rc::gen::inRange(0, 3);
  const auto least = static_cast<std::size_t>(losses) + 1;
  StorageList list;
  const auto size = *rc::gen::inRange<std::size_t>(least, 10);
  const auto salt = std::to_string(*rc::gen::inRange(0, 1000));
  std::vector<std::string> all;
  for (std::size_t n = 0; n < size; ++n) {
    all.push_back("disk" + salt + "-" + std::to_string(n));
    list.members.push_back({all.back(), "", "", ""});
  }
  const auto before = list.ReplicasOf(kProgram, losses).front();
  const auto stored = SomeOf(before.disks, before.quorum);
  // Disks that are lost, of which some leave the list, and some that are
  // emptied on purpose.
  const auto lost = SomeOf(all, *rc::gen::inRange<std::size_t>(0, least));
  auto gone = SomeOf(lost, *rc::gen::inRange<std::size_t>(0, 3));
  const auto joining = *rc::gen::inRange<std::size_t>(0, 4);
  if (*rc::gen::arbitrary<bool>()) {
    const auto emptied = *rc::gen::elementOf(all);
    if (std::find(lost.begin(), lost.end(), emptied) == lost.end()) {
      gone.push_back(emptied);
    }
  }
  std::vector<StorageMember> joiners;
  for (std::size_t n = 0; n < joining; ++n) {
    joiners.push_back({"joiner" + salt + "-" + std::to_string(n), "", "", ""});
  }
  const auto change = list.WithChange(joiners, gone);
  RC_PRE(change.next.size() >= least);

  const auto after = change.ReplicasOf(kProgram, losses).back();
  const bool can_copy =
      std::any_of(stored.begin(), stored.end(), [&lost](const auto& disk) {
        return std::find(lost.begin(), lost.end(), disk) == lost.end();
      });
  RC_ASSERT(can_copy);
  const auto gainers = change.NewReplicasOf(kProgram, losses);
  std::size_t have = 0;
  for (const auto& disk : after.disks) {
    const bool had =
        std::find(stored.begin(), stored.end(), disk) != stored.end();
    const bool gains =
        std::find(gainers.begin(), gainers.end(), disk) != gainers.end();
    have += had || gains ? 1 : 0;
  }
  RC_ASSERT(have + after.quorum > after.disks.size());
}

// What lies on disks enough to survive losses stays there when none leaves.
BOOST_AUTO_TEST_CASE(a_change_that_only_adds_is_told_from_others) {
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
