#ifndef NET_REPEAT_H_
#define NET_REPEAT_H_

#include <functional>

#include "net/loop.h"

namespace comfreyfold {

// Calls `step` until it returns false. A std::exception that leaves it is
// reported to the loop's error hook under `name`, and `step` is called again
// after a pause: a coroutine that ended would end the work for good.
void Repeat(Fiber& fiber, const char* name, const std::function<bool()>& step);

// The same without an end.
void RepeatForever(Fiber& fiber,
                   const char* name,
                   const std::function<void()>& step);

// Calls `step` once. A std::exception that leaves it is reported to the loop's
// error hook under `name`. Returns whether there was none.
bool RunReporting(Loop& loop,
                  const char* name,
                  const std::function<void()>& step);

}  // namespace comfreyfold

#endif  // NET_REPEAT_H_
