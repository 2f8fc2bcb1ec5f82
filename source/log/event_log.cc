#include "log/event_log.h"

#include <utility>

#include <easylogging++.h>
#include <nlohmann/json.hpp>

INITIALIZE_EASYLOGGINGPP

namespace comfreyfold {

namespace {

constexpr std::chrono::minutes kMostDrift{1};

std::chrono::microseconds WallNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

void Put(nlohmann::ordered_json& line,
         const char* name,
         const std::string& text) {
  if (!text.empty()) {
    line[name] = text;
  }
}

void Put(nlohmann::ordered_json& line, const char* name, std::int64_t n) {
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
      recent_bytes_(recent_bytes),
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
  // A restart begins a new sequence; the two together show every gap.
  line["boot"] = boot_;
  line["sequence"] = ++sequence_;
  Put(line, "customer", event.customer);
  Put(line, "program", event.program);
  Put(line, "call", event.call);
  Put(line, "key", event.key);
  Put(line, "lane", event.lane);
  Put(line, "epoch", event.epoch);
  Put(line, "backend", event.backend);
  Put(line, "peer", event.peer);
  Put(line, "detail", event.detail);
  auto text =
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  LOG(INFO) << text;
  Keep({sequence_, now.packed(), now.wall(), event.program, event.customer,
        event.lane, std::move(text)});
  if (on_write_) {
    on_write_(event);
  }
}

void EventLog::OnWrite(std::function<void(const Event&)> hook) {
  on_write_ = std::move(hook);
}

void EventLog::Keep(Stored event) {
  stored_bytes_ += event.bytes();
  recent_.push_back(std::move(event));
  while (stored_bytes_ > recent_bytes_ && recent_.size() > 1) {
    stored_bytes_ -= recent_.front().bytes();
    recent_.pop_front();
  }
}

std::size_t EventLog::Stored::bytes() const {
  return sizeof(Stored) + program.size() + customer.size() + line.size();
}

bool EventLog::Stored::Passes(const EventFilter& filter) const {
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
  // A stamp far ahead is damage or a wrong wall clock; taking it would move
  // the clocks of the whole fleet there for good.
  if (remote.wall() <= now + kMostDrift) {
    clock_.Receive(remote, now);
  }
}

std::string EventLog::Window() const {
  nlohmann::ordered_json out;
  out["window"] = daemon_;
  out["boot"] = boot_;
  out["first_sequence"] = recent_.empty() ? 1 : recent_.front().sequence;
  out["last_sequence"] = sequence_;
  out["first_clock"] = recent_.empty() ? boot_ : recent_.front().clock;
  return out.dump();
}

std::string EventLog::Recent(const EventFilter& filter) const {
  auto out = Window() + "\n";
  for (const auto& it : recent_) {
    if (it.Passes(filter)) {
      out += it.line + "\n";
    }
  }
  return out;
}

}  // namespace comfreyfold
