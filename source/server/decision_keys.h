#ifndef SERVER_DECISION_KEYS_H_
#define SERVER_DECISION_KEYS_H_

#include "core/decision_settings.h"
#include "core/ini_reader.h"

namespace comfreyfold {

// Reads the scheduling settings of section [decisions] into `out`. Keys that
// are absent leave their field as it is.
void ReadDecisionSettings(IniReader& reader, DecisionSettings& out);

}  // namespace comfreyfold

#endif  // SERVER_DECISION_KEYS_H_
