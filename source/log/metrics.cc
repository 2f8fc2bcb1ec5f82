#include "log/metrics.h"

#include <utility>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace comfreyfold {

namespace {

using Buckets = prometheus::Histogram::BucketBoundaries;

// Upper bounds in seconds, from a fast service call to a long model turn.
Buckets CallBuckets() {
  return {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
          0.5,   0.87,  1,     2,    5,    10,   30,  60};
}

// Upper bounds in seconds for the gap between two pieces of a stream.
Buckets TokenGapBuckets() {
  return {0.001, 0.005, 0.01, 0.02, 0.041, 0.08, 0.16, 0.32, 1, 5};
}

double ToSeconds(Metrics::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

struct Metrics::Impl {
  struct CallbackGauge {
    prometheus::Gauge& gauge;
    std::function<double()> read;
  };

  struct CallbackGauges {
    prometheus::Family<prometheus::Gauge>& family;
    std::string label;
    std::function<std::map<std::string, double>()> read;
    std::map<std::string, prometheus::Gauge*> gauges;  // By label value.

    void Update() {
      const auto values = read();
      std::erase_if(gauges, [this, &values](const auto& it) {
        if (values.count(it.first) > 0) {
          return false;
        }
        family.Remove(it.second);
        return true;
      });
      for (const auto& [value, n] : values) {
        auto& gauge = gauges[value];
        if (gauge == nullptr) {
          gauge = &family.Add({{label, value}});
        }
        gauge->Set(n);
      }
    }
  };

  prometheus::Registry registry;
  std::vector<CallbackGauge> callback_gauges;
  std::vector<CallbackGauges> labelled_gauges;

  prometheus::Family<prometheus::Counter>& Counter(const char* name,
                                                   const char* help) {
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
  }
  prometheus::Family<prometheus::Histogram>& Histogram(const char* name,
                                                       const char* help) {
    return prometheus::BuildHistogram().Name(name).Help(help).Register(
        registry);
  }

  prometheus::Family<prometheus::Counter>& calls =
      Counter("comfreyfold_calls_total",
              "Calls of callers that ended, by operation and outcome code");
  prometheus::Family<prometheus::Counter>& refusals =
      Counter("comfreyfold_refusals_total",
              "Calls refused or failed, by code and verdict");
  prometheus::Family<prometheus::Counter>& key_value_calls =
      Counter("comfreyfold_key_value_calls_total",
              "Calls to the key-value service, by kind and result");
  prometheus::Family<prometheus::Counter>& events =
      Counter("comfreyfold_events_total", "Events of the log, by name");
  prometheus::Family<prometheus::Counter>& sent_bytes =
      Counter("comfreyfold_sent_bytes_total",
              "Bytes written to connections, by kind of traffic");
  prometheus::Family<prometheus::Histogram>& call_time =
      Histogram("comfreyfold_call_seconds", "Time of a call at its entry");
  prometheus::Family<prometheus::Histogram>& turn_store_time =
      Histogram("comfreyfold_turn_store_seconds",
                "Time from the end of a turn's answer until enough disks have "
                "stored the turn, or it is given up");
  prometheus::Family<prometheus::Histogram>& key_value_time =
      Histogram("comfreyfold_key_value_seconds",
                "Time of a call to the service");
  prometheus::Histogram& first_token =
      Histogram("comfreyfold_first_token_seconds",
                "Time from a model call's arrival to its first piece")
          .Add({}, CallBuckets());
  prometheus::Histogram& token_gap =
      Histogram("comfreyfold_token_gap_seconds",
                "Time between two pieces of one stream")
          .Add({}, TokenGapBuckets());
  prometheus::Histogram& commit_entries =
      Histogram("comfreyfold_commit_entries",
                "Entries of a block committed to a lane's journal")
          .Add({}, Buckets{1, 2, 4, 8, 16, 32, 64, 128, 256});
  prometheus::Family<prometheus::Gauge>& in_flight =
      prometheus::BuildGauge()
          .Name("comfreyfold_in_flight")
          .Help("Requests being handled, by role")
          .Register(registry);
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::CountCall(const std::string& operation,
                        const std::string& code,
                        Duration duration) {
  impl_->calls.Add({{"operation", operation}, {"code", code}}).Increment();
  impl_->call_time.Add({{"operation", operation}}, CallBuckets())
      .Observe(ToSeconds(duration));
}

void Metrics::CountRefusal(const std::string& code,
                           const std::string& verdict) {
  impl_->refusals.Add({{"code", code}, {"verdict", verdict}}).Increment();
}

void Metrics::ObserveFirstToken(Duration duration) {
  impl_->first_token.Observe(ToSeconds(duration));
}

void Metrics::ObserveTokenGap(Duration duration) {
  impl_->token_gap.Observe(ToSeconds(duration));
}

void Metrics::ObserveTurnStore(bool stored, Duration duration) {
  impl_->turn_store_time
      .Add({{"outcome", stored ? "stored" : "given_up"}}, CallBuckets())
      .Observe(ToSeconds(duration));
}

void Metrics::CountKeyValueCall(const std::string& kind,
                                bool answered,
                                Duration duration) {
  impl_->key_value_calls
      .Add({{"kind", kind}, {"result", answered ? "answered" : "failed"}})
      .Increment();
  impl_->key_value_time.Add({{"kind", kind}}, CallBuckets())
      .Observe(ToSeconds(duration));
}

void Metrics::ObserveCommit(std::size_t entries) {
  impl_->commit_entries.Observe(static_cast<double>(entries));
}

void Metrics::CountEvent(const std::string& name) {
  impl_->events.Add({{"event", name}}).Increment();
}

void Metrics::CountSentBytes(const std::string& traffic, std::size_t bytes) {
  impl_->sent_bytes.Add({{"traffic", traffic}})
      .Increment(static_cast<double>(bytes));
}

void Metrics::AddInFlight(const std::string& role, int change) {
  impl_->in_flight.Add({{"role", role}}).Increment(change);
}

void Metrics::AddGauge(const std::string& name,
                       const std::string& help,
                       std::function<double()> read) {
  auto& gauge = prometheus::BuildGauge()
                    .Name(name)
                    .Help(help)
                    .Register(impl_->registry)
                    .Add({});
  impl_->callback_gauges.push_back({gauge, std::move(read)});
}

void Metrics::AddGauges(const std::string& name,
                        const std::string& help,
                        const std::string& label,
                        std::function<std::map<std::string, double>()> read) {
  auto& family =
      prometheus::BuildGauge().Name(name).Help(help).Register(impl_->registry);
  impl_->labelled_gauges.push_back({family, label, std::move(read), {}});
}

std::string Metrics::Scrape() {
  for (auto& it : impl_->labelled_gauges) {
    it.Update();
  }
  for (const auto& it : impl_->callback_gauges) {
    it.gauge.Set(it.read());
  }
  return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

}  // namespace comfreyfold
