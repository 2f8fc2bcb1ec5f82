#include <set>

#include <boost/test/unit_test.hpp>

#include "core/storage_list.h"
#include "wire/storage_messages.h"

namespace comfreyfold {
namespace {

StorageMember Disk(const std::string& name) {
  return {name, "vm-" + name, "10.0.0.1:" + name, "north"};
}

StorageList MakeList(const std::vector<std::string>& names) {
  StorageList out;
  out.version = 1;
  out.epoch = 1;
  for (const auto& it : names) {
    out.members.push_back(Disk(it));
  }
  return out;
}

BOOST_AUTO_TEST_SUITE(storage_list)

BOOST_AUTO_TEST_CASE(quorums_of_a_set_share_a_disk_and_survive_losses) {
  for (int losses = 0; losses <= 3; ++losses) {
    for (int n = 1; n <= 12; ++n) {
      StorageList list;
      for (int i = 0; i < n; ++i) {
        list.members.push_back(Disk(std::to_string(i)));
      }
      const auto set = list.ReplicasOf("program", losses).front();
      BOOST_TEST(2 * set.quorum > set.disks.size());
      BOOST_TEST(set.quorum > static_cast<std::size_t>(losses));
      if (n >= 2 * losses + 1) {
        BOOST_TEST(set.disks.size() ==
                   static_cast<std::size_t>(2 * losses + 1));
        BOOST_TEST(set.disks.size() - set.quorum ==
                   static_cast<std::size_t>(losses));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(
    a_change_needs_quorums_of_both_sets_until_all_have_copied) {
  const auto initial = MakeList({"a", "b", "c"});
  auto list = initial.WithChange({Disk("d")}, {"a"});
  BOOST_TEST(list.changing());
  BOOST_TEST(list.epoch == 2);
  BOOST_TEST(list.ReplicasOf("p", 1).size() == 2U);
  BOOST_TEST(list.IsMember("a"));
  BOOST_TEST(!list.IsNextMember("a"));
  BOOST_TEST(list.AllMembers().size() == 4U);
  list = list.WithSynced("b").WithSynced("b").WithSynced("c");
  BOOST_TEST(list.changing());
  BOOST_TEST(list.epoch == 2);
  list = list.WithSynced("d");
  BOOST_TEST(!list.changing());
  BOOST_TEST(list.epoch == 3);
  BOOST_TEST(!list.IsMember("a"));
  BOOST_TEST(list.IsMember("d"));
}

BOOST_AUTO_TEST_CASE(a_replaced_disk_of_a_vm_is_a_new_member) {
  const auto list = MakeList({"a", "b", "c"}).WithChange({Disk("a2")}, {"a"});
  BOOST_TEST(!list.IsMember("a2"));
  BOOST_TEST(list.IsNextMember("a2"));
}

BOOST_AUTO_TEST_CASE(if_no_disk_leaves_only_added_disks_copy) {
  auto list = MakeList({"a", "b", "c"}).WithChange({Disk("d")}, {});
  BOOST_TEST(list.synced.size() == 3U);
  BOOST_TEST(list.changing());
  list = list.WithSynced("d");
  BOOST_TEST(!list.changing());
  BOOST_TEST(list.IsMember("d"));
  const auto replaced =
      MakeList({"a", "b", "c"}).WithChange({Disk("d")}, {"a"});
  BOOST_TEST(replaced.synced.empty());
}

BOOST_AUTO_TEST_CASE(absence_is_proved_by_all_but_the_tolerated_losses) {
  BOOST_TEST(MakeList({"a", "b", "c"}).AnswersToProveAbsence(1) == 2U);
  BOOST_TEST(MakeList({"a"}).AnswersToProveAbsence(1) == 1U);
}

BOOST_AUTO_TEST_CASE(a_list_survives_encoding) {
  const auto list = MakeList({"a", "b"}).WithChange({Disk("c")}, {});
  const auto decoded = DecodeStorageList(Encode(list));
  BOOST_TEST(decoded.version == list.version);
  BOOST_TEST(decoded.epoch == list.epoch);
  BOOST_TEST((decoded.members == list.members));
  BOOST_TEST((decoded.next == list.next));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
