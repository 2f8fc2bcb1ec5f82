#include <sys/stat.h>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <limits>
#include <stdexcept>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "harness/test_folder.h"
#include "storage/disk_log.h"

namespace comfreyfold {
namespace {

namespace fs = std::filesystem;

class TempFolder {
 public:
  TempFolder() : path_(harness::MakeTestFolder()) {}
  ~TempFolder() { fs::remove_all(path_); }
  std::string path() const { return path_.string(); }

  // Returns the segment file. The tests call this while there is only one.
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

TimePoint Soon() {
  return std::chrono::steady_clock::now() + std::chrono::seconds(20);
}

// Appends `entries` and waits until all of them are on disk.
void AppendEntries(const TempFolder& folder,
                   const std::vector<std::string>& entries) {
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

std::vector<std::string> ReplayEntries(const TempFolder& folder) {
  Loop loop;
  DiskLog log(loop, folder.path());
  std::vector<std::string> out;
  log.Replay([&out](const LogPosition&, const std::string& entry) {
    out.push_back(entry);
  });
  return out;
}

BOOST_AUTO_TEST_SUITE(disk_log)

BOOST_AUTO_TEST_CASE(entries_are_replayed_in_order_after_restarts) {
  const TempFolder folder;
  AppendEntries(folder, {"one", "two"});
  AppendEntries(folder, {"three"});
  BOOST_TEST(ReplayEntries(folder) ==
                 (std::vector<std::string>{"one", "two", "three"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(torn_entry_does_not_hide_earlier_entries) {
  const TempFolder folder;
  AppendEntries(folder, {"one", "two", "three"});
  const auto segment = folder.Segment();
  fs::resize_file(segment, fs::file_size(segment) - 2);
  BOOST_TEST(ReplayEntries(folder) == (std::vector<std::string>{"one", "two"}),
             boost::test_tools::per_element());
  // Later entries go to a new segment, which is replayed too.
  AppendEntries(folder, {"four"});
  BOOST_TEST(
      ReplayEntries(folder) == (std::vector<std::string>{"one", "two", "four"}),
      boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(corrupted_entry_is_not_replayed) {
  const TempFolder folder;
  AppendEntries(folder, {std::string(100, 'a'), std::string(100, 'b')});
  const auto segment = folder.Segment();
  std::fstream file(segment, std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(static_cast<std::streamoff>(fs::file_size(segment)) - 50);
  file.put('x');
  file.close();
  BOOST_TEST(ReplayEntries(folder) ==
                 (std::vector<std::string>{std::string(100, 'a')}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(entries_are_read_at_their_positions_also_after_a_restart) {
  const TempFolder folder;
  const std::vector<std::string> entries{"one", "twotwo", "three"};
  const auto read = [&](const std::vector<LogPosition>& positions) {
    Loop loop;
    DiskLog log(loop, folder.path());
    std::vector<std::string> out;
    log.Read(positions, Soon(), [&](std::vector<std::string> found) {
      out = std::move(found);
      loop.Stop();
    });
    loop.Spawn([](Fiber& fiber) { fiber.Sleep(std::chrono::seconds(20)); });
    loop.Run();
    return out;
  };
  std::vector<LogPosition> appended;
  {
    Loop loop;
    DiskLog log(loop, folder.path());
    std::size_t left = entries.size();
    for (const auto& it : entries) {
      appended.push_back(log.Append(it, [&](bool) {
        if (--left == 0) {
          loop.Stop();
        }
      }));
    }
    loop.Spawn([](Fiber& fiber) { fiber.Sleep(std::chrono::seconds(20)); });
    loop.Run();
    BOOST_TEST(log.size_bytes() ==
               static_cast<std::int64_t>(fs::file_size(folder.Segment())));
  }
  BOOST_TEST(read(appended) == entries, boost::test_tools::per_element());
  std::vector<LogPosition> replayed;
  {
    Loop loop;
    DiskLog log(loop, folder.path());
    log.Replay([&](const LogPosition& position, const std::string&) {
      replayed.push_back(position);
    });
  }
  BOOST_TEST(read({replayed[2], replayed[0]}) ==
                 (std::vector<std::string>{"three", "one"}),
             boost::test_tools::per_element());
  // Neither a damaged entry nor a missing segment hides the others.
  BOOST_TEST(read({{1, 1, 10}, {77, 0, 10}, replayed[1]}) ==
                 (std::vector<std::string>{"", "", "twotwo"}),
             boost::test_tools::per_element());
}

// Holds up a thread that writes, call by call.
class StepwiseWriter {
 public:
  explicit StepwiseWriter(DiskLog& log) {
    log.BeforeWrite([this](WriteKind) {
      const auto call = ++begun_;
      while (allowed_ < call) {
        std::this_thread::yield();
      }
      if (call == refused_) {
        throw std::runtime_error("refused");
      }
    });
  }
  void AwaitCall(int call) const {
    while (begun_ < call) {
      std::this_thread::yield();
    }
  }
  void Allow(int calls) { allowed_ = calls; }
  // Has the write of that call fail.
  void Refuse(int call) { refused_ = call; }

 private:
  std::atomic<int> begun_{0};
  std::atomic<int> allowed_{0};
  std::atomic<int> refused_{0};
};

// It was reported as stored at an offset where the segment has nothing.
BOOST_AUTO_TEST_CASE(entry_after_one_that_was_not_written_is_at_its_position) {
  constexpr int kCalls = 3;
  const TempFolder folder;
  Loop loop;
  DiskLog log(loop, folder.path());
  StepwiseWriter writer(log);
  const auto ignore = [](bool) {};
  log.Append("one", ignore);
  writer.AwaitCall(1);
  log.Append("two", ignore);
  writer.Refuse(2);
  writer.Allow(1);
  writer.AwaitCall(2);
  bool stored = true;
  std::string found = "none";
  LogPosition position;
  position = log.Append("three", [&](bool written) {
    stored = written;
    log.Read({position}, Soon(), [&](std::vector<std::string> entries) {
      found = entries.front();
      loop.Stop();
    });
  });
  // The same segment as before the failure.
  BOOST_TEST(position.segment == 1);
  writer.Allow(kCalls);
  loop.Spawn([](Fiber& fiber) { fiber.Sleep(std::chrono::seconds(20)); });
  loop.Run();
  BOOST_TEST(!stored);
  BOOST_TEST(found.empty());
}

constexpr std::size_t kMegabyte = 1024 * 1024;
// The sync under way and its own.
constexpr int kMostSyncs = 2;

bool Wait(Fiber& fiber, const bool& done) {
  for (const auto until = Soon();
       !done && std::chrono::steady_clock::now() < until;) {
    fiber.Sleep(std::chrono::milliseconds(1));
  }
  return done;
}

void Await(Fiber& fiber, const bool& done) {
  BOOST_REQUIRE(Wait(fiber, done));
}

// Runs `body` with a log whose first segment has an entry of `bytes`.
void WithOpenSegment(
    std::size_t bytes,
    const std::function<void(Fiber&, DiskLog&, StepwiseWriter&)>& body) {
  const TempFolder folder;
  Loop loop;
  DiskLog log(loop, folder.path());
  StepwiseWriter writer(log);
  writer.Allow(1);
  bool ended = false;
  loop.Spawn([&](Fiber& fiber) {
    bool stored = false;
    log.Append(std::string(bytes, 'x'),
               [&stored](bool written) { stored = written; });
    Await(fiber, stored);
    log.TakeWriteCounts();
    body(fiber, log, writer);
    ended = true;
    writer.Allow(std::numeric_limits<int>::max());
    loop.Stop();
  });
  loop.Run();
  BOOST_TEST(ended);
}

// Reservations were given up behind copies and behind lists to store.
BOOST_AUTO_TEST_CASE(store_waits_for_no_copies_and_no_replaced_files) {
  WithOpenSegment(1, [](Fiber& fiber, DiskLog& log, StepwiseWriter& writer) {
    const auto ignore = [](bool) {};
    log.ReplaceFile("members", "one", ignore);
    writer.AwaitCall(2);
    log.ReplaceFile("fleet", "one", ignore);
    log.ReplaceFile("members", "two", ignore);
    for (int n = 0; n < 3; ++n) {
      log.Append(std::string(3 * kMegabyte, 'c'), ignore,
                 WriteKind::kBackground);
    }
    bool stored = false;
    log.Append("store", [&stored](bool written) { stored = written; });
    writer.Allow(std::numeric_limits<int>::max());
    Await(fiber, stored);
    BOOST_TEST(log.TakeWriteCounts().foreground.most_syncs <= kMostSyncs);
  });
}

// A store that crossed a segment waited for three syncs more than others.
BOOST_AUTO_TEST_CASE(store_that_crosses_a_segment_waits_for_no_further_sync) {
  WithOpenSegment(
      3 * kMegabyte, [](Fiber& fiber, DiskLog& log, StepwiseWriter& writer) {
        writer.Allow(2);
        bool replaced = false;
        log.ReplaceFile("fleet", "", [&replaced](bool) { replaced = true; });
        Await(fiber, replaced);
        const auto ignore = [](bool) {};
        log.Append(std::string(kMegabyte / 2, 'a'), ignore);
        writer.AwaitCall(3);
        log.Append(std::string(kMegabyte * 2 / 5, 'b'), ignore);
        log.Append(std::string(kMegabyte / 3, 'c'), ignore);
        writer.Allow(std::numeric_limits<int>::max());
        bool stored = false;
        log.Append("store", [&stored](bool written) { stored = written; });
        Await(fiber, stored);
        // The next segment, at the latest.
        stored = false;
        log.Append(std::string(kMegabyte, 'd'),
                   [&stored](bool written) { stored = written; });
        Await(fiber, stored);
        BOOST_TEST(log.current_segment() == 2);
        BOOST_TEST(log.TakeWriteCounts().foreground.most_syncs <= kMostSyncs);
      });
}

// The storage list, which all wait for, was stored after two syncs more.
BOOST_AUTO_TEST_CASE(file_is_replaced_while_a_segment_is_named) {
  const TempFolder folder;
  const auto named = folder.path() + "/segment-2";
  Loop loop;
  DiskLog log(loop, folder.path());
  BOOST_REQUIRE(mkfifo(named.c_str(), S_IRUSR | S_IWUSR) == 0);
  bool replaced = false;
  loop.Spawn([&](Fiber& fiber) {
    // Has the next segment named.
    log.Append(std::string(3 * kMegabyte, 'x'), [](bool) {});
    log.ReplaceFile("members", "", [&replaced](bool it) { replaced = it; });
    Wait(fiber, replaced);
    BOOST_TEST(replaced);
    // Ends the naming: to open the file for writing waits for this.
    const std::ifstream file(named);
    loop.Stop();
  });
  loop.Run();
}

// They waited for both syncs, and failed with the later one.
BOOST_AUTO_TEST_CASE(entries_of_a_segment_end_before_the_next_one_is_synced) {
  WithOpenSegment(1, [](Fiber& fiber, DiskLog& log, StepwiseWriter& writer) {
    constexpr int kLateCall = 4;
    log.Append("one", [](bool) {});
    writer.AwaitCall(2);
    bool early_stored = false;
    log.Append("early", [&](bool written) { early_stored = written; });
    bool late_ended = false;
    bool late_stored = false;
    const auto late = log.Append(std::string(5 * kMegabyte, 'l'), [&](bool it) {
      late_ended = true;
      late_stored = it;
    });
    BOOST_TEST(late.segment == 2);
    writer.Refuse(kLateCall);
    writer.Allow(kLateCall - 1);
    Await(fiber, early_stored);
    BOOST_TEST(!late_ended);
    writer.Allow(std::numeric_limits<int>::max());
    Await(fiber, late_ended);
    BOOST_TEST(!late_stored);
  });
}

// Readings that nobody waited for any more kept those of later requests waiting
// after a stall of the disk, beyond their time too.
BOOST_AUTO_TEST_CASE(reading_is_left_out_once_its_time_is_over) {
  const TempFolder folder;
  const auto stalled = folder.path() + "/segment-77";
  Loop loop;
  DiskLog log(loop, folder.path());
  BOOST_REQUIRE(mkfifo(stalled.c_str(), S_IRUSR | S_IWUSR) == 0);
  std::string late = "none";
  std::string in_time = "none";
  LogPosition position;
  position = log.Append("one", [&](bool written) {
    BOOST_TEST(written);
    log.Read({{77, 0, 10}}, Soon(), [](const auto&) {});
    log.Read({position}, std::chrono::steady_clock::now(),
             [&](const auto& entries) { late = entries.front(); });
    log.Read({position}, Soon(), [&](const auto& entries) {
      in_time = entries.front();
      loop.Stop();
    });
    // Ends the stall: to open it for reading waits for this.
    const std::ofstream file(stalled);
  });
  loop.Spawn([](Fiber& fiber) { fiber.Sleep(std::chrono::seconds(20)); });
  loop.Run();
  BOOST_TEST(late.empty());
  BOOST_TEST(in_time == "one");
}

BOOST_AUTO_TEST_CASE(file_is_replaced_atomically) {
  const TempFolder folder;
  WriteFileDurably(folder.path(), "disk", "first");
  WriteFileDurably(folder.path(), "disk", "second");
  BOOST_TEST(ReadWholeFile(folder.path() + "/disk") == "second");
  BOOST_TEST(ReadWholeFile(folder.path() + "/none").empty());
}

// What was read at the first start is still there after the second loss.
BOOST_AUTO_TEST_CASE(torn_entries_of_two_power_losses_hide_no_others) {
  const TempFolder folder;
  const auto tear = [&folder](int segment) {
    std::ofstream file(folder.path() + "/segment-" + std::to_string(segment),
                       std::ios::app | std::ios::binary);
    file << "torn";
  };
  AppendEntries(folder, {"one"});
  tear(1);
  BOOST_TEST(ReplayEntries(folder).size() == 1U);
  AppendEntries(folder, {"two"});
  tear(2);
  AppendEntries(folder, {"three"});
  BOOST_TEST(ReplayEntries(folder) ==
                 (std::vector<std::string>{"one", "two", "three"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(unfinished_replacement_of_a_file_is_overwritten) {
  const TempFolder folder;
  WriteFileDurably(folder.path(), "members", "first");
  std::ofstream(folder.path() + "/members.new") << "a longer, torn content";
  BOOST_TEST(ReadWholeFile(folder.path() + "/members") == "first");
  WriteFileDurably(folder.path(), "members", "second");
  BOOST_TEST(ReadWholeFile(folder.path() + "/members") == "second");
  BOOST_TEST(!fs::exists(folder.path() + "/members.new"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
