/** \file
 * What the platform tells a process about its place: the interface of the deployment plug-ins.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/base/plugin_registry.h"

namespace eelgrass {

/** Bounds that the platform sets; each is a setting, with its source in the platform's pages. */
struct deployment_bounds {
  millis longest_hold{6000};  // lease of a worker
  millis revocation{5000};    // a withdrawn key is refused after this at the latest
  millis config{2000};        // a new configuration is in force after this at the latest
  millis grace{6000};         // between the request to stop and the end of a process
  millis early{250};          // an occurrence may start this much before its time
  millis restore{250};        // a start from a checkpoint takes this much longer
  millis stop_timeout{400};   // a stop is carried out after this at the latest
};

/** The place of one process. */
struct deployment {
  std::string node;  // unique name of the VM
  std::string ip;
  std::string domain;           // failure domain
  double processor = 0;         // cores, or share of one; 0: not known
  std::string front_address;    // entries: for callers
  std::string ready_address;    // entries: for the balancer
  std::string control_address;  // agents: for their workers
  int first_port = 0;           // of the range for traffic between nodes
  int last_port = 0;
  std::vector<std::string> seeds;  // IP:PORT of some entries; may be stale
  std::string worker_address;      // agents: of their worker
  std::string store_address;
  int64_t store_row_bytes = 0;  // bound for the value of a row; 0: not said
  std::string advice_address;
  std::string directory_address;  // of the list of VMs
  deployment_bounds bounds;
};

/** Reads the deployment; may be called again after a change. */
class deployment_source {
 public:
  virtual ~deployment_source() = default;
  virtual result<deployment> Load(std::string_view path) const = 0;

  /** The variable that holds the path of the settings file. */
  virtual std::string_view path_variable() const = 0;
};

/** The settings file of this process. */
class deployment_file {
 public:
  deployment_file(const deployment_source& source, std::string path)
      : source_(source), path_(std::move(path)) {}

  /** Reads the file, which the platform may have changed since. */
  result<deployment> Load() const { return source_.Load(path_); }

 private:
  const deployment_source& source_;
  const std::string path_;
};

using deployment_registry = plugin_registry<deployment_source>;

template <typename Implementation>
using deployment_registration =
    plugin_registration<deployment_registry, deployment_source, Implementation>;

}  // namespace eelgrass
