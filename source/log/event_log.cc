#include "log/event_log.h"

#include <utility>

#include <easylogging++.h>
#include <nlohmann/json.hpp>

INITIALIZE_EASYLOGGINGPP

namespace comfreyfold {

namespace {

constexpr std::chrono::minutes kMaxClockDrift{1};

std::chrono::microseconds WallNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

void PutIfSet(nlohmann::ordered_json& line,
              const char* name,
              const std::string& text) {
  if (!text.empty()) {
    line[name] = text;
  }
}

void PutIfSet(nlohmann::ordered_json& line, const char* name, std::int64_t n) {
  if (n >= 0) {
    line[name] = n;
  }
}

}  // namespace

EventLog::EventLog(std::string daemon,
                   std::string data_centre,
                   const std::string& file,
                   std::size_t recent_bytes)
    : daemon_(std::move(daemon)),
      data_centre_(std::move(data_centre)),
      max_recent_bytes_(recent_bytes),
      boot_(clock_.Tick(WallNow()).packed()) {
  el::Configurations conf;
  conf.setToDefault();
  conf.setGlobally(el::ConfigurationType::Format, "%msg");
  conf.setGlobally(el::ConfigurationType::ToFile,
                   file.empty() ? "false" : "true");
  conf.setGlobally(el::ConfigurationType::ToStandardOutput,
                   file.empty() ? "true" : "false");
  if (!file.empty()) {
    conf.setGlobally(el::ConfigurationType::Filename, file);
  }
  el::Loggers::reconfigureLogger("default", conf);
}

void EventLog::Write(const Event& event) {
  const auto now = clock_.Tick(WallNow());
  nlohmann::ordered_json line;
  line["clock"] = now.packed();
  line["time_us"] = now.wall().count();
  line["event"] = event.name;
  line["daemon"] = daemon_;
  line["data_centre"] = data_centre_;
  // A restart begins a new sequence, so `boot` and `sequence` together reveal
  // every gap in the log.
  line["boot"] = boot_;
  line["sequence"] = ++sequence_;
  PutIfSet(line, "customer", event.customer);
  PutIfSet(line, "program", event.program);
  PutIfSet(line, "call", event.call);
  PutIfSet(line, "key", event.key);
  PutIfSet(line, "lane", event.lane);
  PutIfSet(line, "epoch", event.epoch);
  PutIfSet(line, "backend", event.backend);
  PutIfSet(line, "peer", event.peer);
  PutIfSet(line, "detail", event.detail);
  auto text =
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  LOG(INFO) << text;
  StoreRecent({sequence_, now.packed(), now.wall(), event.program,
               event.customer, event.lane, std::move(text)});
  if (on_write_) {
    on_write_(event);
  }
}

void EventLog::OnWrite(std::function<void(const Event&)> hook) {
  on_write_ = std::move(hook);
}

void EventLog::StoreRecent(StoredEvent event) {
  recent_bytes_ += event.bytes();
  recent_.push_back(std::move(event));
  while (recent_bytes_ > max_recent_bytes_ && recent_.size() > 1) {
    recent_bytes_ -= recent_.front().bytes();
    recent_.pop_front();
  }
}

std::size_t EventLog::StoredEvent::bytes() const {
  return sizeof(StoredEvent) + program.size() + customer.size() + line.size();
}

bool EventLog::StoredEvent::Matches(const EventFilter& filter) const {
  return time >= filter.since &&
         (filter.program.empty() || filter.program == program) &&
         (filter.customer.empty() || filter.customer == customer) &&
         (!filter.lane || *filter.lane == lane);
}

std::int64_t EventLog::Stamp() {
  return clock_.Tick(WallNow()).packed();
}

void EventLog::ReceiveStamp(std::int64_t stamp) {
  const auto remote = HybridTime::FromPacked(stamp);
  const auto now = WallNow();
  // A stamp far in the future comes from corruption or from a wrong wall clock.
  // Merging it would move the clocks of the whole fleet ahead permanently.
  if (remote.wall() <= now + kMaxClockDrift) {
    clock_.Receive(remote, now);
  }
}

std::string EventLog::WindowLine() const {
  nlohmann::ordered_json out;
  out["window"] = daemon_;
  out["boot"] = boot_;
  out["first_sequence"] = recent_.empty() ? 1 : recent_.front().sequence;
  out["last_sequence"] = sequence_;
  out["first_clock"] = recent_.empty() ? boot_ : recent_.front().clock;
  return out.dump();
}

std::string EventLog::Recent(const EventFilter& filter) const {
  auto out = WindowLine() + "\n";
  for (const auto& it : recent_) {
    if (it.Matches(filter)) {
      out += it.line + "\n";
    }
  }
  return out;
}

}  // namespace comfreyfold
