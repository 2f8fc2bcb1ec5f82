#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "storage/replica_replies.h"

namespace comfreyfold {
namespace {

std::vector<StorageMember> MembersOf(const std::string& disks) {
  std::vector<StorageMember> out;
  for (const char it : disks) {
    out.push_back({std::string(1, it), "", "", ""});
  }
  return out;
}

std::string DisksOf(const std::vector<StorageMember>& members) {
  std::string out;
  for (const auto& it : members) {
    out += it.disk;
  }
  return out;
}

BOOST_AUTO_TEST_SUITE(replica_client)

BOOST_AUTO_TEST_CASE(one_set_needs_its_quorum_only) {
  auto members = MembersOf("abcde");
  BOOST_TEST(MoveQuorumsToFront({{{"a", "b", "c", "d", "e"}, 3}}, members) ==
             3U);
  BOOST_TEST(DisksOf(members) == "abcde");
}

// Each reservation was sent to all disks of both sets.
BOOST_AUTO_TEST_CASE(disks_in_old_and_new_set_count_for_both_quorums) {
  auto members = MembersOf("abcdef");
  BOOST_TEST(MoveQuorumsToFront({{{"a", "b", "c", "d", "e"}, 3},
                                 {{"b", "c", "d", "e", "f"}, 3}},
                                members) == 4U);
  BOOST_TEST(DisksOf(members) == "abcdef");
}

BOOST_AUTO_TEST_CASE(sets_without_common_disks_get_a_quorum_each) {
  auto members = MembersOf("abcdef");
  BOOST_TEST(MoveQuorumsToFront({{{"a", "b", "c"}, 2}, {{"d", "e", "f"}, 2}},
                                members) == 4U);
  BOOST_TEST(DisksOf(members) == "abdecf");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
