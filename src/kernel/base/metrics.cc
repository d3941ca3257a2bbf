#include "kernel/base/metrics.h"

// Boost.Accumulators 1.74 uses std::ostringstream without including it.
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <sstream>

namespace eelgrass {

namespace acc = boost::accumulators;

namespace {
constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};
}

/** One distribution on Boost.Accumulators, with estimated quantiles. */
class distribution {
 public:
  distribution() : set_(acc::extended_p_square_probabilities = kQuantiles) {}

  void Add(double value) { set_(value); }

  void Write(std::ostream& out, const std::string& name) const {
    for (int i = 0; i < static_cast<int>(kQuantiles.size()); ++i) {
      out << "eelgrass_" << name << "{quantile=\"" << kQuantiles[static_cast<size_t>(i)] << "\"} "
          << acc::extended_p_square(set_)[i] << "\n";
    }
    out << "eelgrass_" << name << "_sum " << acc::sum(set_) << "\n";
    out << "eelgrass_" << name << "_count " << acc::count(set_) << "\n";
    out << "eelgrass_" << name << "_max " << acc::max(set_) << "\n";
  }

 private:
  acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max,
                                          acc::tag::extended_p_square>>
      set_;
};

metrics::metrics() = default;
metrics::~metrics() = default;

void metrics::Count(std::string_view name, int64_t by) {
  std::lock_guard lock(mutex_);
  const auto found = values_.find(name);
  if (found != values_.end()) {
    found->second += by;
  } else {
    values_.emplace(name, by);
  }
}

void metrics::Set(std::string_view name, int64_t value) {
  std::lock_guard lock(mutex_);
  values_.insert_or_assign(std::string(name), value);
}

void metrics::Record(std::string_view name, double value) {
  std::lock_guard lock(mutex_);
  auto& slot = distributions_[std::string(name)];
  if (!slot) slot = std::make_unique<distribution>();
  slot->Add(value);
}

int64_t metrics::count(std::string_view name) const {
  std::lock_guard lock(mutex_);
  const auto found = values_.find(name);
  return found == values_.end() ? 0 : found->second;
}

std::string metrics::Text() const {
  std::lock_guard lock(mutex_);
  std::ostringstream out;
  for (const auto& [name, value] : values_) out << "eelgrass_" << name << " " << value << "\n";
  for (const auto& [name, values] : distributions_) values->Write(out, name);
  return out.str();
}

}  // namespace eelgrass
