/** \file
 * JSON forms of the basic types, shared by the codecs. Not for use by deciding code.
 */
#pragma once

#include <nlohmann/json.hpp>

#include "kernel/base/millis.h"
#include "kernel/model/job.h"
#include "kernel/model/messages.h"

namespace eelgrass {

inline void to_json(nlohmann::json& out, const millis& value) { out = value.count(); }
inline void from_json(const nlohmann::json& in, millis& value) {
  value = millis(in.get<int64_t>());
}

NLOHMANN_JSON_SERIALIZE_ENUM(adjacency, {{adjacency::kAny, "any"},
                                         {adjacency::kWorker, "worker"},
                                         {adjacency::kRack, "rack"},
                                         {adjacency::kDomain, "domain"},
                                         {adjacency::kRegion, "region"}})
NLOHMANN_JSON_SERIALIZE_ENUM(urgency, {{urgency::kNormal, "normal"},
                                       {urgency::kUrgent, "urgent"},
                                       {urgency::kBatch, "batch"}})
NLOHMANN_JSON_SERIALIZE_ENUM(window_mode, {{window_mode::kDrain, "drain"},
                                           {window_mode::kMove, "move"},
                                           {window_mode::kStop, "stop"}})

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(resources, accelerators, cores, memory_gb)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(gang_member, agent, address, tasks, amount)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(job_spec, name, organisation, job_class, tasks,
                                                per_task, within, declared_ms, run_ms, fails)

}  // namespace eelgrass
