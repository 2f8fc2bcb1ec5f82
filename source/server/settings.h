#ifndef SERVER_SETTINGS_H_
#define SERVER_SETTINGS_H_

#include <chrono>
#include <string>

#include "core/decision_settings.h"
#include "core/load_followers.h"
#include "log/event_log.h"
#include "net/http_server.h"
#include "server/contract_store.h"
#include "server/lane_settings.h"
#include "server/peer_links.h"

namespace comfreyfold {

// What one daemon is told at its start. docs/OPERATIONS.md explains each.
struct Settings {
  std::string daemon;       // [daemon] id
  std::string data_centre;  // [daemon] data_centre
  std::string listen = "127.0.0.1:0";
  std::string data_folder;       // Empty: this VM keeps nothing.
  std::string log_file;          // Empty: standard output.
  std::string peer_secret_file;  // Empty: /peer/ takes every caller's word.
  std::int64_t recent_events_bytes = EventLog::kRecentBytes;

  std::string kv_address;
  std::string vm_list_address;
  std::string weight_store_address;  // Empty: nothing is placed.
  std::chrono::milliseconds placement_interval{1000};
  std::chrono::seconds placement_claim{10};
  std::chrono::milliseconds platform_timeout{1000};
  std::chrono::milliseconds vm_list_interval{1000};
  ContractSettings contracts;

  int lanes = 24;
  LaneSettings lane;
  PeerLinkOptions peers;
  std::chrono::milliseconds heartbeat_timeout{1500};

  std::chrono::milliseconds call_deadline{60000};
  std::chrono::milliseconds load_interval{500};
  FollowerSettings followers;
  std::chrono::milliseconds token_coalescing{20};
  std::chrono::milliseconds drain_time{60000};
  DecisionSettings decisions;
  std::chrono::milliseconds drain_linger{1000};
  HttpLimits http;
};

// Parses and checks the text of a settings file. Throws IniError.
Settings ParseSettings(const std::string& text, const std::string& file);

}  // namespace comfreyfold

#endif  // SERVER_SETTINGS_H_
