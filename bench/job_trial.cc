#include "bench/job_trial.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

#include "tests/world/announce_worker.h"
#include "tests/world/timeline.h"

namespace eelgrass {
namespace {

constexpr double kMillisPerSecond = 1000;
constexpr double kMeanRunSeconds = 3600;
constexpr double kRunSpread = 1.0;  // standard deviation of the logarithm
constexpr double kMaxDeclaredFactor = 10;
constexpr double kNoise = 0.5;  // of the declared factor, on the logarithm
constexpr millis kReplanInterval{60000};

/** State of one run. */
class trial {
 public:
  trial(const document& doc, const trial_options& options);
  trial_result Run();

 private:
  struct job {
    job_row row;
    int64_t arrived = 0;
    int64_t first_start = -1;
    int64_t ended = -1;
    int64_t left_ms = 0;  // true work left
    uint64_t run = 0;     // raised at each start
    bool running = false;
  };

  void MakeWorkers();
  void MakeJobs();
  int RandomSize();
  void Arrive(size_t index);
  void PlanSoon();
  void Plan();
  void Start(const start_decision& decision);
  void Finish(size_t index, uint64_t run);
  void Evict(size_t index, millis checkpoint);
  void TryWaitingStarts();
  void Account();
  void SetDomain(bool out);
  void CheckInvariants();
  size_t IndexOf(const std::string& id) const { return std::stoul(id.substr(1)); }
  int64_t Now() const { return events_.now().count(); }

  document doc_;
  const trial_options options_;
  std::mt19937_64 random_;
  timeline events_;
  cluster machines_;
  guarantee_ledger ledger_;
  runtime_estimator estimator_;
  failure_tracker failures_;
  job_scheduler scheduler_;
  std::vector<ledger_worker> workers_;
  std::set<std::string, std::less<>> usable_;
  std::vector<job> jobs_;
  std::set<size_t> waiting_;
  std::set<size_t> running_;
  std::vector<std::pair<start_decision, int64_t>> reclaiming_;
  std::map<std::string, double> declared_bias_;
  int accelerators_ = 0;
  int busy_ = 0;
  int64_t accounted_to_ = 0;
  double idle_fragmented_ = 0;
  double total_ = 0;
  double domain_busy_ = 0;
  double domain_capacity_ = 0;
  bool domain_is_out_ = false;
  std::vector<double> reclaims_;
  trial_result result_;
  bool plan_due_ = false;
  bool timer_set_ = false;
};

trial::trial(const document& doc, const trial_options& options)
    : doc_(doc),
      options_(options),
      random_(options.seed),
      scheduler_(queue_registry::Instance().Create(options.ordering).value(),
                 placement_registry::Instance().Create(options.placement).value()) {
  MakeWorkers();
  MakeJobs();
}

void trial::MakeWorkers() {
  workers_ = DeclaredWorkers(doc_);
  for (const auto& worker : workers_) {
    AnnounceWorker(machines_, worker);
    usable_.insert(worker.id);
    accelerators_ += worker.capacity.accelerators;
  }
  ledger_.Update(doc_, workers_, [](std::string_view, std::string_view) { return resources{}; });
}

int trial::RandomSize() {
  constexpr int kSizes[] = {1, 1, 2, 2, 4, 4, 8, 8, 8, 16};
  const int size = kSizes[random_() % std::size(kSizes)];
  // At the target's size a few gangs are much larger.
  constexpr int kLargeCluster = 500;
  constexpr int kRareGang = 40;
  if (accelerators_ >= kLargeCluster && random_() % kRareGang == 0) return 128;
  return size;
}

void trial::MakeJobs() {
  const double mu = std::log(kMeanRunSeconds) - kRunSpread * kRunSpread / 2;
  std::lognormal_distribution<double> run_seconds(mu, kRunSpread);
  std::normal_distribution<double> noise(0, kNoise);
  std::uniform_real_distribution<double> bias(-std::log(kMaxDeclaredFactor),
                                              std::log(kMaxDeclaredFactor));
  double work = 0;
  for (int i = 0; i < options_.jobs; ++i) {
    job item;
    job_spec& spec = item.row.spec;
    item.row.id = "j" + std::to_string(i);
    spec.organisation = doc_.organisations[random_() % doc_.organisations.size()].name;
    const auto& kind = doc_.job_classes[1 + random_() % (doc_.job_classes.size() - 1)];
    spec.job_class = kind.name;
    const int size = RandomSize();
    const int each = std::min(8, size);
    spec.tasks = size / each;
    spec.per_task = {each, each * 2, each * 4};
    spec.within = size <= 8    ? adjacency::kWorker
                  : size <= 16 ? adjacency::kRack
                               : adjacency::kDomain;
    const auto run = static_cast<int64_t>(run_seconds(random_) * kMillisPerSecond);
    spec.run_ms = millis(std::max<int64_t>(1000, run));
    const std::string key = spec.job_class + "/" + spec.organisation;
    const auto known = declared_bias_.try_emplace(key, bias(random_)).first;
    const double wrong = std::exp(known->second + noise(random_));
    const double factor = options_.true_times ? 1 : wrong;
    const double bounded = std::clamp(factor, 1 / kMaxDeclaredFactor, kMaxDeclaredFactor);
    spec.declared_ms =
        millis(static_cast<int64_t>(static_cast<double>(spec.run_ms.count()) * bounded));
    item.left_ms = spec.run_ms.count();
    work += static_cast<double>(size) * static_cast<double>(spec.run_ms.count());
    jobs_.push_back(std::move(item));
  }
  // Poisson arrivals over the time in which the offered work is `load` of the capacity.
  const double span = work / accelerators_ / options_.load;
  std::uniform_real_distribution<double> when(0, span);
  std::vector<int64_t> times;
  for (size_t i = 0; i < jobs_.size(); ++i) times.push_back(static_cast<int64_t>(when(random_)));
  std::sort(times.begin(), times.end());
  for (size_t i = 0; i < jobs_.size(); ++i) {
    jobs_[i].arrived = times[i];
    jobs_[i].row.submitted_ms = times[i];
    events_.At(millis(times[i]), [this, i] { Arrive(i); });
  }
  if (!options_.domain_out) return;
  const auto third = static_cast<int64_t>(span / 3);
  events_.At(millis(third), [this] { SetDomain(true); });
  events_.At(millis(2 * third), [this] { SetDomain(false); });
}

void trial::SetDomain(bool out) {
  Account();
  domain_is_out_ = out;
  doc_.domains.front().out = out;
  usable_.clear();
  std::vector<ledger_worker> serving;
  for (const auto& worker : workers_) {
    if (out && worker.domain == doc_.domains.front().name) continue;
    usable_.insert(worker.id);
    serving.push_back(worker);
  }
  ledger_.Update(doc_, serving, [this](std::string_view owner, std::string_view worker) {
    return machines_.OwnUsage(owner, worker);
  });
  if (out) {
    const auto affected = running_;
    for (const size_t index : affected) {
      const auto& members = jobs_[index].row.members;
      const bool there = std::any_of(members.begin(), members.end(),
                                     [this](const auto& m) { return !usable_.contains(m.agent); });
      if (there) Evict(index, doc_.FindJobClass(jobs_[index].row.spec.job_class)->checkpoint_ms);
    }
  }
  PlanSoon();
}

void trial::Arrive(size_t index) {
  Account();
  waiting_.insert(index);
  PlanSoon();
}

void trial::PlanSoon() {
  if (plan_due_) return;
  plan_due_ = true;
  events_.After(millis(100), [this] {
    plan_due_ = false;
    Plan();
  });
}

void trial::Plan() {
  Account();
  std::vector<const job_row*> waiting;
  std::vector<const job_row*> running;
  for (const size_t index : waiting_) waiting.push_back(&jobs_[index].row);
  for (const size_t index : running_) running.push_back(&jobs_[index].row);
  const schedule_view view{doc_,    machines_, ledger_, estimator_,    failures_,
                           waiting, running,   usable_, events_.now(), events_.now()};
  const auto decisions = scheduler_.Plan(view);
  for (const auto& decision : decisions) {
    waiting_.erase(IndexOf(decision.job));
    result_.evictions += static_cast<int>(decision.evictions.size());
    if (decision.evictions.empty()) {
      Start(decision);
      continue;
    }
    reclaiming_.emplace_back(decision, Now());
    for (const auto& victim : decision.evictions) Evict(IndexOf(victim.job), victim.checkpoint);
  }
  CheckInvariants();
  if (waiting_.empty() || timer_set_) return;
  timer_set_ = true;
  events_.After(kReplanInterval, [this] {
    timer_set_ = false;
    PlanSoon();
  });
}

void trial::Start(const start_decision& decision) {
  const size_t index = IndexOf(decision.job);
  job& item = jobs_[index];
  item.row.members = decision.members;
  item.row.borrowing = decision.borrowing;
  item.row.state = job_state::kRunning;
  item.row.started_ms = Now();
  ++item.row.epoch;
  if (item.first_start < 0) item.first_start = Now();
  item.running = true;
  running_.insert(index);
  busy_ += item.row.spec.total().accelerators;
  const uint64_t run = ++item.run;
  events_.After(millis(item.left_ms), [this, index, run] { Finish(index, run); });
}

void trial::Finish(size_t index, uint64_t run) {
  job& item = jobs_[index];
  if (item.run != run || !item.running) return;
  Account();
  item.running = false;
  item.ended = Now();
  running_.erase(index);
  busy_ -= item.row.spec.total().accelerators;
  machines_.Free(item.row.id);
  estimator_.Learn(item.row.spec, item.row.spec.run_ms);
  TryWaitingStarts();
  PlanSoon();
}

void trial::Evict(size_t index, millis checkpoint) {
  const uint64_t run = jobs_[index].run;
  events_.After(checkpoint, [this, index, run, checkpoint] {
    job& item = jobs_[index];
    if (item.run != run || !item.running) return;
    Account();
    const int64_t ran = Now() - item.row.started_ms;
    if (checkpoint > millis(0)) {
      item.left_ms = std::max<int64_t>(1, item.left_ms - ran);
      item.row.saved_ms += ran;
    }
    item.running = false;
    item.row.state = job_state::kQueued;
    item.row.members.clear();
    running_.erase(index);
    waiting_.insert(index);
    busy_ -= item.row.spec.total().accelerators;
    machines_.Free(item.row.id);
    TryWaitingStarts();
    PlanSoon();
  });
}

void trial::TryWaitingStarts() {
  for (auto item = reclaiming_.begin(); item != reclaiming_.end();) {
    const auto& [decision, since] = *item;
    const bool gone =
        std::all_of(decision.evictions.begin(), decision.evictions.end(), [this](const auto& v) {
          const allocation* held = machines_.FindAllocation(v.job);
          const job& other = jobs_[IndexOf(v.job)];
          return held == nullptr || !other.running || other.row.epoch != v.epoch;
        });
    if (!gone) {
      ++item;
      continue;
    }
    reclaims_.push_back(static_cast<double>(Now() - since) / kMillisPerSecond);
    Start(decision);
    item = reclaiming_.erase(item);
  }
}

void trial::Account() {
  const auto elapsed = static_cast<double>(Now() - accounted_to_);
  accounted_to_ = Now();
  total_ += elapsed * accelerators_;
  int capacity = 0;
  for (const auto& worker : workers_) {
    if (usable_.contains(worker.id)) capacity += worker.capacity.accelerators;
  }
  const int idle = capacity - busy_;
  int smallest = INT_MAX;
  int wanted = 0;
  for (const size_t index : waiting_) {
    const int need = jobs_[index].row.spec.total().accelerators;
    smallest = std::min(smallest, need);
    wanted += need;
  }
  if (idle > 0 && smallest <= idle) idle_fragmented_ += elapsed * std::min(idle, wanted);
  if (domain_is_out_) {
    domain_busy_ += elapsed * std::min(busy_, capacity);
    domain_capacity_ += elapsed * std::min(capacity, busy_ + wanted);
  }
}

void trial::CheckInvariants() {
  for (const auto& worker : workers_) {
    const worker_state& state = *machines_.Find(worker.id);
    if (!state.own.Fits(worker.capacity)) ++result_.violations;
    if (!ledger_.Held(worker.id).Fits(worker.capacity)) ++result_.violations;
  }
}

trial_result trial::Run() {
  constexpr millis kLongest{int64_t{400} * 86400000};
  events_.RunUntil(kLongest);
  std::vector<double> completions;
  double slowdown = 0;
  double largest_wait = 0;
  int largest_count = 0;
  int largest = 0;
  for (const auto& item : jobs_) largest = std::max(largest, item.row.spec.total().accelerators);
  for (const auto& item : jobs_) {
    if (item.ended < 0) {
      ++result_.violations;  // It never finished.
      continue;
    }
    const double completion = static_cast<double>(item.ended - item.arrived) / kMillisPerSecond;
    completions.push_back(completion);
    slowdown += completion / (static_cast<double>(item.row.spec.run_ms.count()) / kMillisPerSecond);
    if (item.row.spec.total().accelerators != largest) continue;
    largest_wait += static_cast<double>(item.first_start - item.arrived) / kMillisPerSecond;
    ++largest_count;
  }
  std::sort(completions.begin(), completions.end());
  const auto count = static_cast<double>(completions.size());
  for (const double value : completions) result_.mean_completion += value / count;
  result_.p50_completion = completions[completions.size() / 2];
  result_.p95_completion = completions[completions.size() * 95 / 100];
  result_.mean_slowdown = slowdown / count;
  result_.largest_wait = largest_count > 0 ? largest_wait / largest_count : 0;
  result_.fragmentation = idle_fragmented_ / total_;
  for (const double value : reclaims_) {
    result_.mean_reclaim += value / static_cast<double>(reclaims_.size());
  }
  result_.domain_work = domain_capacity_ > 0 ? domain_busy_ / domain_capacity_ : 0;
  return result_;
}

}  // namespace

trial_result RunTrial(const document& doc, const trial_options& options) {
  return trial(doc, options).Run();
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values.empty() ? 0 : values[values.size() / 2];
}

}  // namespace eelgrass
