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

// Settings of a daemon, read from its INI file at start. docs/OPERATIONS.md
// describes each of them.
struct Settings {
  std::string daemon;       // [daemon] id
  std::string data_centre;  // [daemon] data_centre
  std::string listen = "127.0.0.1:0";
  std::string data_folder;       // Empty: blocks are not spooled to disk here.
  std::string log_file;          // Empty: standard output.
  std::string peer_secret_file;  // Empty: /peer/ accepts every request.
  std::int64_t recent_events_bytes = EventLog::kRecentBytes;

  std::string kv_address;
  std::string vm_list_address;
  std::string weight_store_address;  // Empty: no models are placed on engines.
  std::chrono::milliseconds placement_interval{1000};
  std::chrono::seconds placement_claim{10};
  std::chrono::milliseconds platform_timeout{1000};
  std::chrono::milliseconds vm_list_interval{1000};
  ContractSettings contracts;

  int lanes = 24;  // Number of lanes; the same on every daemon of the fleet.
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

// Parses and validates `text`, the content of the settings file `file`. Throws
// IniError.
Settings ParseSettings(const std::string& text, const std::string& file);

}  // namespace comfreyfold

#endif  // SERVER_SETTINGS_H_
