/** \file
 * Placed units whose tickets have expired.
 */
#pragma once

#include <vector>

#include "kernel/advice/advice_messages.h"
#include "kernel/placement/planning_view.h"

namespace eelgrass {

/** The wishes of units that wait for room on their workers while tickets of theirs expired. */
std::vector<advice_wish> WishesOfPlacedUnits(const planning_view& view);

}  // namespace eelgrass
