/** \file
 * Which part of which worker backs each guaranteed shape.
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
 * Workers as the document's racks declare them, in all failure domains but one; an empty name
 * leaves none out.
 */
std::vector<ledger_worker> DeclaredWorkers(const document& doc,
                                           std::string_view without_domain = {});

/** A share of one worker. */
struct worker_share {
  std::string worker;
  resources amount;
};

/** One guaranteed shape and what backs it. */
struct guarantee_cell {
  std::string organisation;
  int guarantee = 0;  // index in the organisation's list
  int index = 0;      // of `count`
  resources shape;
  adjacency within = adjacency::kWorker;
  std::vector<worker_share> shares;  // empty: suspended, since no capacity is left for it

  bool suspended() const { return shares.empty(); }
};

/**
 * Keeps disjoint shares of the workers for all guaranteed shapes. A job within its organisation's
 * guarantee uses only the organisation's shares; everything else borrows and can be stopped. So
 * every unused shape can be had back by stopping borrowers, whatever else happens.
 *
 * When workers come and go, cells keep their place if they can. When not all fit, the cells are
 * packed anew around the shares in use: tight and large shapes first, the organisations in turn, so
 * that a loss is spread over them. What does not fit is suspended and reported.
 */
class guarantee_ledger {
 public:
  /** Amount that the organisation's jobs use within its guarantee on a worker. */
  using own_usage =
      std::function<resources(std::string_view organisation, std::string_view worker)>;

  /** Adapts the cells to a document and to the workers that can run tasks. */
  void Update(const document& doc, std::span<const ledger_worker> workers, const own_usage& usage);

  /** The organisation's guaranteed share of a worker. */
  resources Share(std::string_view organisation, std::string_view worker) const;

  /** All guaranteed shares of an organisation, by worker. */
  const std::map<std::string, resources, std::less<>>& SharesOf(
      std::string_view organisation) const;

  /** What all cells together hold of a worker. */
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
