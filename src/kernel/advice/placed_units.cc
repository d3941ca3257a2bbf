#include "kernel/advice/placed_units.h"

#include <map>
#include <utility>

#include "kernel/advice/ticket_cache.h"

namespace eelgrass {

std::vector<advice_wish> WishesOfPlacedUnits(const planning_view& view) {
  std::vector<advice_wish> expired;
  if (view.advice == nullptr) return expired;
  std::map<unit_ref, advice_wish> wishes;
  for (const auto& [id, worker] : view.pool.all()) {
    for (const auto& [ref, record] : worker.runs) {
      if (record.phase != run_phase::kHeld || record.ticket.empty()) continue;
      advice_wish& wish = wishes[record.unit];
      if (wish.place.empty() || wish.place.back() != id) wish.place.push_back(id);
      if (view.advice->Ticket(record.unit, worker.profile.self, view.now) != nullptr) continue;
      if (wish.workers.empty() || wish.workers.back() != id) wish.workers.push_back(id);
    }
  }
  for (auto& [unit, wish] : wishes) {
    if (wish.workers.empty()) continue;
    const unit_state* state = view.jobs.Find(unit);
    wish.unit = unit;
    wish.holds_room = wish.has_room = true;
    wish.ready_since = state == nullptr ? view.now : state->ready_since;
    expired.push_back(std::move(wish));
  }
  return expired;
}

}  // namespace eelgrass
