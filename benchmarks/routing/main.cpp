// Compares policies for sharing the executors' slots among gateways that do not coordinate, in an
// event-driven simulation without a network model. Prints the queueing time (arrival to start of service)
// under each policy.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "state/routing/target_table.h"

namespace {

using hickorystall::state::attempt_outcome;
using hickorystall::state::chosen_target;
using hickorystall::state::routing_time;

constexpr int kGateways = 8;
constexpr int kExecutors = 50;
constexpr int kSlots = 8;
constexpr double kMeanServiceMs = 20;
// Ratio of the slow executor's mean service time to that of the others.
constexpr double kSlowFactor = 4;
// Time until which requests arrive.
constexpr double kDurationMs = 30000;
// Time at which gateways 0 and 1 are replaced, which empties their queues.
constexpr double kGatewayReplacementMs = 15000;
// Time that a request may wait at its gateway before it is refused.
constexpr double kMaxQueueMs = 1000;

// Requests of one gateway in flight on each executor, for the policies that do not use target_table.
struct local_view {
  std::vector<int> in_flight = std::vector<int>(kExecutors, 0);
};

// Routing policy of one gateway.
class router {
 public:
  virtual ~router() = default;
  // Returns an executor, or -1 to queue the request at the gateway.
  virtual int Choose(double now, std::mt19937_64& random) = 0;
  virtual void Start(int executor) = 0;
  // `load` is the executor's own count of requests at the time of its response.
  virtual void Finish(int executor, int load, double now) = 0;
};

// Base of the policies that know only their own gateway's requests in flight.
class local_router : public router {
 public:
  void Start(int executor) override { ++view_.in_flight[executor]; }
  void Finish(int executor, int, double) override { --view_.in_flight[executor]; }

 protected:
  local_view view_;
};

// Each gateway may use only its share of the slots of every executor, which is one slot.
class static_slices : public local_router {
 public:
  int Choose(double, std::mt19937_64& random) override {
    const int start = static_cast<int>(random() % kExecutors);
    for (int i = 0; i < kExecutors; ++i) {
      const int executor = (start + i) % kExecutors;
      if (view_.in_flight[executor] < kSlots / kGateways) return executor;
    }
    return -1;
  }
};

// Each executor is assigned to one gateway by rendezvous hashing. The other gateways use it only when their
// own executors are full.
class rendezvous_subsets : public local_router {
 public:
  explicit rendezvous_subsets(int self) {
    std::hash<std::string> hash;
    for (int e = 0; e < kExecutors; ++e) {
      int owner = 0;
      std::size_t best = 0;
      for (int g = 0; g < kGateways; ++g) {
        const std::size_t score = hash(std::to_string(g) + "/" + std::to_string(e));
        if (score >= best) {
          best = score;
          owner = g;
        }
      }
      (owner == self ? own_ : others_).push_back(e);
    }
  }
  int Choose(double, std::mt19937_64& random) override {
    int best = LeastLoaded(own_);
    if (best < 0) {
      std::shuffle(others_.begin(), others_.end(), random);
      best = LeastLoaded(others_);
    }
    return best;
  }

 private:
  int LeastLoaded(const std::vector<int>& executors) const {
    int best = -1;
    for (const int e : executors) {
      if (view_.in_flight[e] >= kSlots) continue;
      if (best < 0 || view_.in_flight[e] < view_.in_flight[best]) best = e;
    }
    return best;
  }
  std::vector<int> own_;
  std::vector<int> others_;
};

// Chooses the less loaded of two random executors, by this gateway's own requests in flight.
class two_choices : public local_router {
 public:
  int Choose(double, std::mt19937_64& random) override {
    const int a = static_cast<int>(random() % kExecutors);
    const int b = static_cast<int>(random() % kExecutors);
    const int best = view_.in_flight[a] <= view_.in_flight[b] ? a : b;
    return view_.in_flight[best] < kSlots ? best : -1;
  }
};

// Uses target_table, as the gateway does: two random choices by requests in flight and reported load, with a
// guaranteed share of each executor.
class target_table_router : public router {
 public:
  explicit target_table_router(bool use_reports) : use_reports_(use_reports) {
    hickorystall::state::cluster_config config;
    for (int e = 0; e < kExecutors; ++e) {
      hickorystall::state::vm_config vm;
      vm.name = std::to_string(e);
      vm.address = vm.name;
      vm.kind = hickorystall::state::vm_kind::kExecutor;
      vm.slots = kSlots;
      config.vms.push_back(vm);
    }
    table_.Configure(config);
    table_.SetGatewayCount(kGateways);
  }
  int Choose(double now, std::mt19937_64& random) override {
    const auto target = table_.Choose({}, ToTime(now), random);
    return target.has_value() ? std::stoi(target->name) : -1;
  }
  void Start(int executor) override { table_.Start(Target(executor)); }
  void Finish(int executor, int load, double now) override {
    table_.Finish(Target(executor), attempt_outcome::kResponded,
                  use_reports_ ? std::optional<int>(load) : std::nullopt, ToTime(now));
  }

 private:
  static routing_time ToTime(double now_ms) {
    return routing_time() + std::chrono::hours(1) +
           std::chrono::microseconds(static_cast<std::int64_t>(now_ms * 1000));
  }
  static chosen_target Target(int executor) {
    const std::string name = std::to_string(executor);
    return {name, name, false, false};
  }
  hickorystall::state::target_table table_{{}};
  const bool use_reports_;
};

using router_factory = std::function<std::unique_ptr<router>(int gateway)>;

struct request {
  double arrived = 0;
  int gateway = 0;
  // Incarnation of its gateway. When a gateway is replaced, its queue is lost.
  int incarnation = 0;
};

struct event {
  double at = 0;
  std::uint64_t sequence = 0;
  std::function<void()> run;
  bool operator<(const event& other) const {
    return std::tie(at, sequence) > std::tie(other.at, other.sequence);
  }
};

class simulation {
 public:
  simulation(const router_factory& make, double load, std::uint64_t seed)
      : make_router_(make),
        load_(load),
        random_(seed),
        routers_(kGateways),
        queues_(kGateways),
        incarnations_(kGateways, 0),
        executors_(kExecutors) {
    for (int g = 0; g < kGateways; ++g) routers_[g] = make_router_(g);
  }

  void Run() {
    // The slow executor reduces the capacity slightly.
    const double capacity = (kExecutors - 1 + 1 / kSlowFactor) * kSlots / kMeanServiceMs;
    // The traffic is uneven: one gateway receives three times as much as each of the others.
    for (int g = 0; g < kGateways; ++g) {
      const double share = (g == 0 ? 3.0 : 1.0) / (kGateways + 2);
      ScheduleArrival(g, capacity * load_ * share);
    }
    Schedule(kGatewayReplacementMs, [this] {
      for (const int g : {0, 1}) Replace(g);
    });
    while (!events_.empty()) {
      const event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.run();
    }
  }

  void Print(const std::string& name) {
    std::sort(waits_.begin(), waits_.end());
    double sum = 0;
    for (const double wait : waits_) sum += wait;
    const auto quantile = [&](double q) {
      return waits_[static_cast<std::size_t>(q * static_cast<double>(waits_.size() - 1))];
    };
    std::printf("%-28s %5.1f %10.2f %10.2f %10.2f %10.2f %9.2f%%\n", name.c_str(), load_,
                sum / static_cast<double>(waits_.size()), quantile(0.5), quantile(0.99), quantile(0.999),
                100.0 * refused_ / (refused_ + static_cast<double>(waits_.size())));
  }

 private:
  struct executor_state {
    int running = 0;
    std::deque<request> waiting;
  };

  void Schedule(double at, std::function<void()> run) {
    events_.push({at, next_sequence_++, std::move(run)});
  }

  void ScheduleArrival(int gateway, double rate) {
    const double at = now_ + std::exponential_distribution<double>(rate)(random_);
    if (at > kDurationMs) return;
    Schedule(at, [this, gateway, rate] {
      queues_[gateway].push_back({now_, gateway, incarnations_[gateway]});
      Dispatch(gateway);
      ScheduleArrival(gateway, rate);
    });
  }

  void Dispatch(int gateway) {
    std::deque<request>& queue = queues_[gateway];
    while (!queue.empty() && now_ - queue.front().arrived > kMaxQueueMs) {
      queue.pop_front();
      ++refused_;
    }
    while (!queue.empty()) {
      const int executor = routers_[gateway]->Choose(now_, random_);
      if (executor < 0) break;
      routers_[gateway]->Start(executor);
      const request next = queue.front();
      queue.pop_front();
      executors_[executor].waiting.push_back(next);
      Serve(executor);
    }
    // Tries again after 20 ms, as the gateway does.
    if (!queue.empty() && !retry_pending_[gateway]) {
      retry_pending_[gateway] = true;
      Schedule(now_ + 20, [this, gateway] {
        retry_pending_[gateway] = false;
        Dispatch(gateway);
      });
    }
  }

  void Serve(int executor) {
    executor_state& state = executors_[executor];
    while (state.running < kSlots && !state.waiting.empty()) {
      const request next = state.waiting.front();
      state.waiting.pop_front();
      ++state.running;
      waits_.push_back(now_ - next.arrived);
      const double mean = executor == 0 ? kMeanServiceMs * kSlowFactor : kMeanServiceMs;
      const double service = std::exponential_distribution<double>(1 / mean)(random_);
      Schedule(now_ + service, [this, executor, next] { Finish(executor, next); });
    }
  }

  void Finish(int executor, const request& done) {
    --executors_[executor].running;
    Serve(executor);
    const int load = executors_[executor].running + static_cast<int>(executors_[executor].waiting.size());
    // A replaced gateway has lost the state of its requests, which still run to completion.
    if (done.incarnation != incarnations_[done.gateway]) return;
    routers_[done.gateway]->Finish(executor, load, now_);
    Dispatch(done.gateway);
  }

  void Replace(int gateway) {
    ++incarnations_[gateway];
    routers_[gateway] = make_router_(gateway);
    queues_[gateway].clear();
  }

  const router_factory& make_router_;
  const double load_;
  std::mt19937_64 random_;
  double now_ = 0;
  std::uint64_t next_sequence_ = 0;
  std::priority_queue<event> events_;
  std::vector<std::unique_ptr<router>> routers_;
  std::vector<std::deque<request>> queues_;
  std::vector<int> incarnations_;
  std::vector<executor_state> executors_;
  std::vector<bool> retry_pending_ = std::vector<bool>(kGateways, false);
  std::vector<double> waits_;
  double refused_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const std::vector<std::pair<std::string, router_factory>> policies{
      {"static slices", [](int) { return std::make_unique<static_slices>(); }},
      {"rendezvous subsets", [](int g) { return std::make_unique<rendezvous_subsets>(g); }},
      {"two choices", [](int) { return std::make_unique<two_choices>(); }},
      {"table without reports", [](int) { return std::make_unique<target_table_router>(false); }},
      {"table with reports", [](int) { return std::make_unique<target_table_router>(true); }},
  };
  std::printf("seed %llu; queueing time in ms\n%-28s %5s %10s %10s %10s %10s %10s\n",
              static_cast<unsigned long long>(seed), "way", "load", "mean", "p50", "p99", "p99.9", "refused");
  for (const double load : {0.5, 0.9, 1.1}) {
    for (const auto& [name, make] : policies) {
      simulation run(make, load, seed);
      run.Run();
      run.Print(name);
    }
  }
  return 0;
}
