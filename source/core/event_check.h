#ifndef CORE_EVENT_CHECK_H_
#define CORE_EVENT_CHECK_H_

#include <string>
#include <string_view>

namespace comfreyfold {

// Whether `bytes`, up to a blank line, are an event of a text/event-stream:
// comments, or fields of which one is "id" or "data". The head of another
// answer, plain text and JSON are not.
bool IsEvent(std::string_view bytes);

// Whether the event with this id does not follow the one with the id `last`.
// Ids that are not numbers may have any order.
bool IsOutOfOrder(const std::string& id, const std::string& last);

}  // namespace comfreyfold

#endif  // CORE_EVENT_CHECK_H_
