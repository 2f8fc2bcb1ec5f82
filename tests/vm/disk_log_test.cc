#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "storage/disk_log.h"

namespace comfreyfold {
namespace {

namespace fs = std::filesystem;

class Folder {
 public:
  Folder() {
    std::string name =
        (fs::temp_directory_path() / "comfreyfold-log-XXXXXX").string();
    path_ = mkdtemp(name.data());
  }
  ~Folder() { fs::remove_all(path_); }
  std::string path() const { return path_.string(); }

  // The only segment that holds anything.
  fs::path Segment() const {
    for (const auto& it : fs::directory_iterator(path_)) {
      if (it.path().filename().string().rfind("segment-", 0) == 0) {
        return it.path();
      }
    }
    return {};
  }

 private:
  fs::path path_;
};

// Appends `entries` and waits until the last is on disk.
void Write(const Folder& folder, const std::vector<std::string>& entries) {
  Loop loop;
  DiskLog log(loop, folder.path());
  std::size_t left = entries.size();
  for (const auto& it : entries) {
    log.Append(it, [&](bool kept) {
      BOOST_TEST(kept);
      if (--left == 0) {
        loop.Stop();
      }
    });
  }
  loop.Spawn([](Fiber& fiber) { fiber.Sleep(std::chrono::seconds(20)); });
  loop.Run();
  BOOST_TEST(left == 0U);
}

std::vector<std::string> ReadBack(const Folder& folder) {
  Loop loop;
  DiskLog log(loop, folder.path());
  std::vector<std::string> out;
  log.Replay(
      [&out](std::int64_t, const std::string& entry) { out.push_back(entry); });
  return out;
}

BOOST_AUTO_TEST_SUITE(disk_log)

BOOST_AUTO_TEST_CASE(entries_come_back_in_order_over_starts) {
  const Folder folder;
  Write(folder, {"one", "two"});
  Write(folder, {"three"});
  BOOST_TEST(
      ReadBack(folder) == (std::vector<std::string>{"one", "two", "three"}),
      boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_torn_end_hides_nothing_before_it) {
  const Folder folder;
  Write(folder, {"one", "two", "three"});
  const auto segment = folder.Segment();
  fs::resize_file(segment, fs::file_size(segment) - 2);
  BOOST_TEST(ReadBack(folder) == (std::vector<std::string>{"one", "two"}),
             boost::test_tools::per_element());
  // What comes after goes to another segment and is found.
  Write(folder, {"four"});
  BOOST_TEST(
      ReadBack(folder) == (std::vector<std::string>{"one", "two", "four"}),
      boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(damaged_bytes_are_never_taken_for_an_entry) {
  const Folder folder;
  Write(folder, {std::string(100, 'a'), std::string(100, 'b')});
  const auto segment = folder.Segment();
  std::fstream file(segment, std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(static_cast<std::streamoff>(fs::file_size(segment)) - 50);
  file.put('x');
  file.close();
  BOOST_TEST(
      ReadBack(folder) == (std::vector<std::string>{std::string(100, 'a')}),
      boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_file_is_replaced_whole) {
  const Folder folder;
  WriteFileDurably(folder.path(), "disk", "first");
  WriteFileDurably(folder.path(), "disk", "second");
  BOOST_TEST(ReadWholeFile(folder.path() + "/disk") == "second");
  BOOST_TEST(ReadWholeFile(folder.path() + "/none").empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
