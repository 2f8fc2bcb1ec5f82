// What the lane journal costs: writes of the key-value service for a turn, at
// rest and under load, and the time to replay a lane.

#include <cstdio>
#include <iostream>

#include "harness/caller.h"
#include "harness/cluster.h"
#include "lane/entries.h"
#include "lane/lane_world.h"

namespace comfreyfold {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kTurnsAtRest = 40;
constexpr int kProgramsUnderLoad = 96;
constexpr int kTurnsUnderLoad = 8;
constexpr int kCallsOfProgram = 10;
constexpr std::size_t kRequestBytes = 400;
constexpr std::size_t kAnswerBytes = 800;
constexpr std::chrono::milliseconds kPatience{60000};

double Seconds(Clock::duration time) {
  return std::chrono::duration<double>(time).count();
}

std::int64_t Writes(harness::Cluster& cluster) {
  return cluster.Audit(cluster.kv()).value("/v3/kv/txn", std::int64_t{0});
}

void Turn(Fiber& fiber,
          harness::Cluster& cluster,
          const std::string& program,
          int turn) {
  harness::Caller caller(fiber, cluster.http(), harness::kQuoteKey, program);
  const auto answer =
      caller.SendTurn(cluster.daemon(turn % cluster.daemons()).address(),
                      "turn-" + std::to_string(turn), "a quote, please");
  if (answer.status != 200) {
    throw std::runtime_error("a turn failed: " + answer.body);
  }
}

void Print(const char* what, int turns, std::int64_t writes, double seconds) {
  std::printf(
      "%-12s %5d turns in %6.2f s: %6.2f turns/s, %5.2f writes/turn, "
      "%7.2f writes/s\n",
      what, turns, seconds, turns / seconds,
      static_cast<double>(writes) / turns,
      static_cast<double>(writes) / seconds);
}

void MeasureWrites(Fiber& fiber) {
  harness::Cluster cluster(fiber, {});
  cluster.WaitReady();
  cluster.Apply({harness::QuoteContract()});
  auto writes = Writes(cluster);
  auto start = Clock::now();
  for (int i = 0; i < kTurnsAtRest; ++i) {
    Turn(fiber, cluster, "rest", i);
  }
  Print("at rest", kTurnsAtRest, Writes(cluster) - writes,
        Seconds(Clock::now() - start));

  int running = kProgramsUnderLoad;
  writes = Writes(cluster);
  start = Clock::now();
  for (int n = 0; n < kProgramsUnderLoad; ++n) {
    fiber.loop().Spawn([&, n](Fiber& child) {
      for (int i = 0; i < kTurnsUnderLoad; ++i) {
        Turn(child, cluster, "load-" + std::to_string(n), i);
      }
      --running;
    });
  }
  cluster.WaitFor(
      "the load to end", [&] { return running == 0; }, kPatience);
  Print("under load", kProgramsUnderLoad * kTurnsUnderLoad,
        Writes(cluster) - writes, Seconds(Clock::now() - start));
}

void Fill(Fiber& fiber, LaneOwner& owner, int programs) {
  for (int n = 0; n < programs; ++n) {
    const auto program = "p" + std::to_string(n);
    std::vector<LaneEntry> entries;
    for (int i = 0; i < kCallsOfProgram; ++i) {
      const auto key = "k" + std::to_string(i);
      auto begun = lane::Entry(EntryKind::kCallBegun, program, key);
      begun.request.assign(kRequestBytes, 'q');
      entries.push_back(std::move(begun));
      entries.push_back(
          lane::Ran(program, key, std::string(kAnswerBytes, 'a')));
    }
    owner.Append(fiber, std::move(entries), kPatience);
  }
}

double ReplayTime(Fiber& fiber, lane::LaneWorld& world, LaneReplay& out) {
  auto journal = world.MakeJournal();
  const auto start = Clock::now();
  out = journal.Replay(fiber);
  return Seconds(Clock::now() - start);
}

void MeasureReplay(int programs) {
  lane::RunInLane({}, [programs](Fiber& fiber, lane::LaneWorld& world) {
    const auto owner = world.MakeOwner("d0");
    owner->Open(fiber);
    Fill(fiber, *owner, programs);
    LaneReplay blocks;
    const auto from_blocks = ReplayTime(fiber, world, blocks);
    owner->SaveSnapshot(fiber);
    LaneReplay snapshot;
    const auto from_snapshot = ReplayTime(fiber, world, snapshot);
    std::printf(
        "replay of %5d programs of %d calls: %7.1f ms from blocks "
        "(%.1f MB), %7.1f ms from a snapshot (%.1f MB)\n",
        programs, kCallsOfProgram, from_blocks * 1e3,
        static_cast<double>(blocks.block_bytes) / 1e6, from_snapshot * 1e3,
        static_cast<double>(snapshot.snapshot_bytes) / 1e6);
  });
}

int Main() {
  std::string error;
  Loop loop;
  loop.OnError([&](const char* what) {
    error = what;
    loop.Stop();
  });
  loop.Spawn([&](Fiber& fiber) {
    MeasureWrites(fiber);
    loop.Stop();
  });
  loop.Run();
  if (!error.empty()) {
    std::cerr << "journal_bench failed: " << error << std::endl;
    return 1;
  }
  for (const int programs : {500, 1000, 2000}) {
    MeasureReplay(programs);
  }
  return 0;
}

}  // namespace
}  // namespace comfreyfold

int main() {
  try {
    return comfreyfold::Main();
  } catch (const std::exception& e) {
    std::cerr << "journal_bench failed: " << e.what() << std::endl;
    return 1;
  }
}
