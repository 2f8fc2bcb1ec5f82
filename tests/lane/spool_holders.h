#ifndef LANE_SPOOL_HOLDERS_H_
#define LANE_SPOOL_HOLDERS_H_

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "server/block_spool.h"
#include "server/holder_links.h"

namespace comfreyfold::lane {

// A folder that goes with this object.
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

// Holders in this process, each with a spool on the disk. The first two that
// are there, by name, are the ones that an owner chooses.
class SpoolHolders : public HolderLinks {
 public:
  explicit SpoolHolders(const std::set<std::string>& daemons);

  // Its requests are lost until it is set up again.
  void SetDown(const std::string& daemon, bool down);
  // It is off the list of members.
  void SetListed(const std::string& daemon, bool listed);
  // Opens its folder again, as a daemon that starts does.
  void Restart(const std::string& daemon);
  void ReplaceDisk(const std::string& daemon);
  // The answers of its next requests are lost.
  void LoseAnswers(const std::string& daemon, int count);
  // Runs once, after the next seal.
  void AfterSeal(std::function<void(Fiber&)> hook) {
    after_seal_ = std::move(hook);
  }

  std::size_t held() const;
  std::size_t HeldBy(const std::string& daemon) const {
    return spools_.at(daemon)->held();
  }
  SpoolHolder Named(const std::string& daemon) const {
    return {daemon, spools_.at(daemon)->id()};
  }

  std::vector<SpoolHolder> Choose(int lane) override;
  bool IsThere(const SpoolHolder& holder) override;
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
  std::function<void(Fiber&)> after_seal_;
};

}  // namespace comfreyfold::lane

#endif  // LANE_SPOOL_HOLDERS_H_
