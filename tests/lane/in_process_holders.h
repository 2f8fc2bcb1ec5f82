#ifndef LANE_IN_PROCESS_HOLDERS_H_
#define LANE_IN_PROCESS_HOLDERS_H_

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "server/block_spool.h"
#include "server/holder_client.h"

namespace comfreyfold::lane {

// Creates a temporary folder and deletes it on destruction.
class ScratchFolder {
 public:
  ScratchFolder();
  ~ScratchFolder();
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;
  std::string Sub(const std::string& name) const;

 private:
  std::filesystem::path path_;
};

// Holders in this process, each with its own spool on disk. Choose returns the
// first two available holders by name.
class InProcessHolders : public HolderClient {
 public:
  explicit InProcessHolders(const std::set<std::string>& daemons);

  // While set, requests to the daemon are lost.
  void SetDown(const std::string& daemon, bool down);
  // Sets whether the daemon is in the list of members.
  void SetListed(const std::string& daemon, bool listed);
  // Opens the daemon's folder again, as a restarted daemon does.
  void Restart(const std::string& daemon);
  // Deletes the daemon's folder and restarts it with an empty one.
  void ReplaceDisk(const std::string& daemon);
  // The answers to the next `count` requests to the daemon are lost.
  void LoseAnswers(const std::string& daemon, int count);
  // Answers to requests that wait for the disk come too late from now on.
  void SetSlowDisks(bool slow) { slow_disks_ = slow; }
  // The hook runs once, after the next request to seal.
  void AfterSeal(std::function<void(Fiber&)> hook) {
    after_seal_ = std::move(hook);
  }

  std::size_t held() const;
  std::size_t HeldBy(const std::string& daemon) const {
    return spools_.at(daemon)->held();
  }
  SpoolHolder HolderOf(const std::string& daemon) const {
    return {daemon, spools_.at(daemon)->id()};
  }

  std::vector<SpoolHolder> Choose(int lane) override;
  bool IsAvailable(const SpoolHolder& holder) override;
  bool MayReturn(Fiber& fiber, const SpoolHolder& holder) override;
  SpoolStatus Store(Fiber& fiber,
                    const SpoolHolder& holder,
                    int lane,
                    const LaneBlock& block) override;
  SealAnswer Seal(Fiber& fiber,
                  const SpoolHolder& holder,
                  int lane,
                  std::int64_t epoch,
                  std::int64_t number) override;
  SpoolStatus Forget(Fiber& fiber,
                     const SpoolHolder& holder,
                     int lane,
                     std::int64_t number) override;

 private:
  SpoolAnswer Ask(Fiber& fiber,
                  const std::string& daemon,
                  const std::function<SpoolAnswer(BlockSpool&)>& ask);

  ScratchFolder folder_;
  EventLog log_{"holders", "dc", "/dev/null"};
  std::map<std::string, std::unique_ptr<BlockSpool>> spools_;
  std::set<std::string> down_;
  std::set<std::string> unlisted_;
  std::map<std::string, int> lost_answers_;
  bool slow_disks_ = false;
  int durable_writes_ = 0;
  std::function<void(Fiber&)> after_seal_;
};

}  // namespace comfreyfold::lane

#endif  // LANE_IN_PROCESS_HOLDERS_H_
