#include "core/call_queue.h"

#include <algorithm>
#include <bit>
#include <numeric>
#include <utility>

namespace comfreyfold {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr std::size_t kMaxCallsTried = 16;  // Per customer.
constexpr milliseconds kFirstLevelWidth{500};

// The level of attained service. Calls of one level go by arrival. Each level
// is twice as wide as the one before.
int ServiceLevel(nanoseconds attained) {
  const auto steps = static_cast<std::uint64_t>(attained / kFirstLevelWidth);
  return static_cast<int>(std::bit_width(steps));
}

}  // namespace

void CallQueue::Push(QueuedCall call) {
  auto& customer = customers_[call.customer];
  // A customer gains no credit while it has no waiting calls.
  if (customer.calls.empty()) {
    customer.start = std::max(customer.start, virtual_time_);
  }
  customer.weight = std::max(1, call.weight);
  customer.backlog += call.cost;
  customer.calls.push_back(std::move(call));
  ++size_;
}

bool CallQueue::GoesBefore(const QueuedCall& a,
                           const QueuedCall& b,
                           TimePoint now) const {
  const bool a_aged = now - a.arrived >= aging_;
  const bool b_aged = now - b.arrived >= aging_;
  if (a_aged != b_aged) {
    return a_aged;
  }
  if (!a_aged) {
    if (a.priority != b.priority) {
      return a.priority > b.priority;
    }
    const int a_level = ServiceLevel(a.attained + a.cost);
    const int b_level = ServiceLevel(b.attained + b.cost);
    if (a_level != b_level) {
      return a_level < b_level;
    }
  }
  return std::tie(a.arrived, a.id) < std::tie(b.arrived, b.id);
}

std::vector<std::string> CallQueue::CustomersInOrder() const {
  std::vector<std::string> out;
  for (const auto& [name, customer] : customers_) {
    if (!customer.calls.empty()) {
      out.push_back(name);
    }
  }
  std::stable_sort(out.begin(), out.end(),
                   [this](const auto& a, const auto& b) {
                     return customers_.at(a).start < customers_.at(b).start;
                   });
  return out;
}

std::optional<QueuedCall> CallQueue::Take(
    TimePoint now,
    const std::function<bool(const QueuedCall&)>& fits) {
  for (const auto& name : CustomersInOrder()) {
    auto& customer = customers_.at(name);
    std::vector<std::size_t> order(customer.calls.size());
    std::iota(order.begin(), order.end(), 0);
    const auto tried = std::min(order.size(), kMaxCallsTried);
    std::partial_sort(
        order.begin(), order.begin() + static_cast<std::ptrdiff_t>(tried),
        order.end(), [&](std::size_t a, std::size_t b) {
          return GoesBefore(customer.calls[a], customer.calls[b], now);
        });
    for (std::size_t i = 0; i < tried; ++i) {
      if (fits(customer.calls[order[i]])) {
        return Extract(customer, order[i]);
      }
    }
  }
  return std::nullopt;
}

QueuedCall CallQueue::Extract(Customer& customer, std::size_t index) {
  auto out = std::move(customer.calls[index]);
  customer.calls.erase(customer.calls.begin() +
                       static_cast<std::ptrdiff_t>(index));
  customer.backlog -= out.cost;
  virtual_time_ = std::max(virtual_time_, customer.start);
  customer.start += out.cost / customer.weight;
  --size_;
  return out;
}

bool CallQueue::Remove(std::uint64_t id) {
  for (auto& [name, customer] : customers_) {
    const auto it =
        std::find_if(customer.calls.begin(), customer.calls.end(),
                     [id](const QueuedCall& call) { return call.id == id; });
    if (it != customer.calls.end()) {
      customer.backlog -= it->cost;
      customer.calls.erase(it);
      --size_;
      return true;
    }
  }
  return false;
}

void CallQueue::Charge(const std::string& customer,
                       int weight,
                       nanoseconds difference) {
  const auto it = customers_.find(customer);
  if (it != customers_.end()) {
    it->second.start += difference / std::max(1, weight);
  }
}

nanoseconds CallQueue::Backlog(const std::string& customer) const {
  const auto it = customers_.find(customer);
  return it == customers_.end() ? nanoseconds::zero() : it->second.backlog;
}

int CallQueue::ActiveWeight() const {
  int out = 0;
  for (const auto& [name, customer] : customers_) {
    out += customer.calls.empty() ? 0 : customer.weight;
  }
  return out;
}

}  // namespace comfreyfold
