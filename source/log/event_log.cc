#include "log/event_log.h"

#include <fstream>
#include <utility>

#include <easylogging++.h>
#include <nlohmann/json.hpp>

INITIALIZE_EASYLOGGINGPP

namespace comfreyfold {

namespace {

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
                   const std::string& file)
    : daemon_(std::move(daemon)),
      data_centre_(std::move(data_centre)),
      file_(file) {
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
  Put(line, "customer", event.customer);
  Put(line, "program", event.program);
  Put(line, "call", event.call);
  Put(line, "key", event.key);
  Put(line, "lane", event.lane);
  Put(line, "epoch", event.epoch);
  Put(line, "backend", event.backend);
  Put(line, "detail", event.detail);
  LOG(INFO) << line.dump(-1, ' ', false,
                         nlohmann::json::error_handler_t::replace);
}

std::int64_t EventLog::Stamp() {
  return clock_.Tick(WallNow()).packed();
}

void EventLog::Receive(std::int64_t stamp) {
  clock_.Receive(HybridTime::FromPacked(stamp), WallNow());
}

std::string EventLog::Recent(std::chrono::microseconds since) const {
  if (file_.empty()) {
    return {};
  }
  el::Loggers::flushAll();
  std::ifstream in(file_);
  std::string out;
  for (std::string line; std::getline(in, line);) {
    const auto json = nlohmann::json::parse(line, nullptr, false);
    if (json.is_object() && json.value("time_us", 0LL) >= since.count()) {
      out += line + "\n";
    }
  }
  return out;
}

}  // namespace comfreyfold
