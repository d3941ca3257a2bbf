/** \file
 * Assigns worker capacity to guaranteed shapes.
 */
#pragma once

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/model/document.h"
#include "kernel/model/resources.h"

namespace eelgrass {

/** A worker whose capacity can back guarantees. */
struct ledger_worker {
  std::string id;
  std::string rack;
  std::string domain;
  std::string region;
  resources capacity;
};

/**
 * Returns the workers that the document's racks declare, without those of the failure domain
 * `without_domain`; an empty name excludes none.
 */
std::vector<ledger_worker> DeclaredWorkers(const document& doc,
                                           std::string_view without_domain = {});

/** An amount of one worker's capacity. */
struct worker_share {
  std::string worker;
  resources amount;
};

/** One guaranteed shape and the worker shares that back it. */
struct guarantee_cell {
  std::string organisation;
  int guarantee = 0;  // index in the organisation's list
  int index = 0;      // within the guarantee's `count`
  resources shape;
  adjacency within = adjacency::kWorker;
  std::vector<worker_share> shares;  // empty while suspended for lack of capacity

  bool suspended() const { return shares.empty(); }
};

/**
 * Assigns disjoint shares of the workers to all guaranteed shapes. A job within its organisation's
 * guarantee uses only the organisation's shares; all other jobs borrow and can be stopped.
 * Therefore every unused shape can always be reclaimed by stopping borrowers.
 *
 * When workers join or leave, cells keep their shares if possible. If not all cells fit, they are
 * repacked around the shares in use: large shapes first, then tight adjacency, with the
 * organisations in turn, so that a loss of capacity is spread over them. Cells that do not fit are
 * suspended and reported.
 */
class guarantee_ledger {
 public:
  /** Returns the amount that the organisation's jobs use within its guarantee on a worker. */
  using own_usage =
      std::function<resources(std::string_view organisation, std::string_view worker)>;

  /** Updates the cells for a document and the workers that can back guarantees. */
  void Update(const document& doc, std::span<const ledger_worker> workers, const own_usage& usage);

  /** Returns the organisation's guaranteed share of a worker. */
  resources Share(std::string_view organisation, std::string_view worker) const;

  /** Returns all guaranteed shares of an organisation by worker. */
  const std::map<std::string, resources, std::less<>>& SharesOf(
      std::string_view organisation) const;

  /** Returns the amount of a worker that backs cells of any organisation. */
  resources Held(std::string_view worker) const;

  std::span<const guarantee_cell> cells() const { return cells_; }
  int suspended() const;

 private:
  using capacity_by_worker = std::map<std::string, resources, std::less<>>;

  void MatchCells(const document& doc);
  void Pack(std::span<const ledger_worker> workers, std::vector<guarantee_cell>& cells,
            capacity_by_worker& available) const;
  bool PlaceCell(std::span<const ledger_worker> workers, guarantee_cell& cell,
                 capacity_by_worker& available) const;
  void Index();

  std::vector<guarantee_cell> cells_;
  std::map<std::string, std::map<std::string, resources, std::less<>>, std::less<>> shares_;
  std::map<std::string, resources, std::less<>> held_;
};

}  // namespace eelgrass
