#include "tests/scenario/scenario_runner.h"

extern "C" {
#include <lauxlib.h>
#include <lua.h>
#include <lualib.h>
}

#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>

#include "kernel/control/commands/cancel_job_command.h"
#include "kernel/encoding/document_json.h"
#include "tests/world/job_world.h"

namespace eelgrass {
namespace {

constexpr char kWorldKey[] = "eelgrass.world";

job_world& World(lua_State* lua) {
  lua_getfield(lua, LUA_REGISTRYINDEX, kWorldKey);
  auto* world = static_cast<job_world*>(lua_touserdata(lua, -1));
  lua_pop(lua, 1);
  return *world;
}

std::string Text(lua_State* lua, int index) { return luaL_checkstring(lua, index); }

int64_t Integer(lua_State* lua, int index, int64_t otherwise) {
  return luaL_optinteger(lua, index, otherwise);
}

int64_t Field(lua_State* lua, int table, const char* name, int64_t otherwise) {
  lua_getfield(lua, table, name);
  const int64_t value = lua_isnil(lua, -1) ? otherwise : lua_tointeger(lua, -1);
  lua_pop(lua, 1);
  return value;
}

std::string TextField(lua_State* lua, int table, const char* name, const char* otherwise) {
  lua_getfield(lua, table, name);
  std::string value = lua_isnil(lua, -1) ? otherwise : lua_tostring(lua, -1);
  lua_pop(lua, 1);
  return value;
}

/** deploy(file, entries): starts entries and the declared workers, and applies the document. */
int Deploy(lua_State* lua) {
  std::ifstream file(Text(lua, 1));
  std::ostringstream text;
  text << file.rdbuf();
  auto doc = ParseDocument(text.str());
  if (!doc) return luaL_error(lua, "cannot read the document");
  job_world& world = World(lua);
  const int64_t entries = Integer(lua, 2, 3);
  for (int64_t i = 1; i <= entries; ++i) world.StartEntry("e" + std::to_string(i));
  world.Run(millis(2000));
  if (!world.ApplyDocument(text.str())) return luaL_error(lua, "the document was not applied");
  world.StartDeclaredWorkers(doc.value());
  world.Run(millis(2000));
  return 0;
}

/** submit(entry, {organisation=, class=, tasks=, accelerators=, run_ms=, ...}) -> ticket. */
int Submit(lua_State* lua) {
  job_spec spec;
  spec.organisation = TextField(lua, 2, "organisation", "secadero");
  spec.job_class = TextField(lua, 2, "class", "cure-model");
  spec.tasks = static_cast<int>(Field(lua, 2, "tasks", 1));
  spec.per_task.accelerators = static_cast<int>(Field(lua, 2, "accelerators", 1));
  spec.per_task.cores = static_cast<int>(Field(lua, 2, "cores", 0));
  spec.run_ms = millis(Field(lua, 2, "run_ms", 1000));
  spec.declared_ms = millis(Field(lua, 2, "declared_ms", spec.run_ms.count()));
  spec.fails = Field(lua, 2, "fails", 0) != 0;
  const std::string within = TextField(lua, 2, "within", "any");
  for (int i = 0; i <= static_cast<int>(adjacency::kAny); ++i) {
    if (AdjacencyName(static_cast<adjacency>(i)) == within) spec.within = static_cast<adjacency>(i);
  }
  job_world& world = World(lua);
  const std::string key = TextField(lua, 2, "key", "");
  const uint64_t ticket =
      world.Submit(Text(lua, 1), spec,
                   key.empty() ? "k" + std::to_string(world.events().now().count()) + "-" +
                                     std::to_string(Field(lua, 2, "number", 0))
                               : key);
  lua_pushinteger(lua, static_cast<lua_Integer>(ticket));
  return 1;
}

/** answer(ticket) -> "accepted" | "known" | "refused" | "none", detail or job id. */
int Answer(lua_State* lua) {
  const auto& answer = World(lua).Answer(static_cast<uint64_t>(luaL_checkinteger(lua, 1)));
  if (!answer.answered) {
    lua_pushstring(lua, "none");
    lua_pushstring(lua, "");
    return 2;
  }
  if (const auto* job = std::get_if<job_detail>(&answer.view)) {
    lua_pushstring(lua, job->accepted ? "accepted" : "known");
    lua_pushstring(lua, job->job.id.c_str());
    return 2;
  }
  if (const auto* refused = std::get_if<refusal>(&answer.view)) {
    lua_pushstring(lua, "refused");
    lua_pushstring(
        lua, (std::string(ErrorKindName(refused->problem.kind)) + ": " + refused->problem.detail)
                 .c_str());
    return 2;
  }
  lua_pushstring(lua, "other");
  lua_pushstring(lua, "");
  return 2;
}

int Cancel(lua_State* lua) {
  const uint64_t ticket =
      World(lua).Order(Text(lua, 1), std::make_unique<cancel_job_command>(Text(lua, 2)));
  lua_pushinteger(lua, static_cast<lua_Integer>(ticket));
  return 1;
}

int Run(lua_State* lua) {
  World(lua).Run(millis(luaL_checkinteger(lua, 1)));
  return 0;
}

/** run_until_ended(limit_ms) -> whether all jobs have ended. */
int RunUntilEnded(lua_State* lua) {
  job_world& world = World(lua);
  const millis until = world.events().now() + millis(luaL_checkinteger(lua, 1));
  while (world.events().now() < until && !world.AllEnded()) world.Run(millis(1000));
  lua_pushboolean(lua, world.AllEnded());
  return 1;
}

int KillEntry(lua_State* lua) {
  World(lua).KillEntry(Text(lua, 1));
  return 0;
}

int StartEntry(lua_State* lua) {
  World(lua).StartEntry(Text(lua, 1));
  return 0;
}

int KillAgent(lua_State* lua) {
  World(lua).KillAgent(Text(lua, 1), Integer(lua, 2, 0) != 0);
  return 0;
}

int RestartAgent(lua_State* lua) {
  World(lua).RestartAgent(Text(lua, 1));
  return 0;
}

int KillMachine(lua_State* lua) {
  World(lua).KillMachine(Text(lua, 1));
  return 0;
}

int Pause(lua_State* lua) {
  World(lua).Pause(Text(lua, 1));
  return 0;
}

int Resume(lua_State* lua) {
  World(lua).Resume(Text(lua, 1));
  return 0;
}

int Cut(lua_State* lua) {
  World(lua).network().Cut(Text(lua, 1), Text(lua, 2));
  return 0;
}

int Heal(lua_State* lua) {
  World(lua).network().Heal(Text(lua, 1), Text(lua, 2));
  return 0;
}

int Crossing(lua_State* lua) {
  World(lua).network().SetCrossing(lua_toboolean(lua, 1) != 0);
  return 0;
}

/** store{down=, delay_ms=, lost_percent=} */
int Store(lua_State* lua) {
  fake_store& store = World(lua).store();
  store.SetDown(Field(lua, 1, "down", 0) != 0);
  store.SetDelay(millis(Field(lua, 1, "delay_ms", 2)));
  store.SetLostPercent(static_cast<int>(Field(lua, 1, "lost_percent", 0)));
  return 0;
}

int FailWorker(lua_State* lua) {
  World(lua).runtime(Text(lua, 1)).SetFailAll(lua_toboolean(lua, 2) != 0);
  return 0;
}

/** domain(entry, name, "out" | "in", mode) */
int Domain(lua_State* lua) {
  const std::string mode = luaL_optstring(lua, 4, "move");
  const window_mode chosen = mode == "drain"  ? window_mode::kDrain
                             : mode == "stop" ? window_mode::kStop
                                              : window_mode::kMove;
  World(lua).SetDomain(Text(lua, 1), Text(lua, 2), Text(lua, 3) == "out", chosen);
  return 0;
}

int Count(lua_State* lua) {
  const std::string wanted = Text(lua, 1);
  int count = 0;
  for (const auto& row : World(lua).Rows()) count += JobStateName(row.state) == wanted ? 1 : 0;
  lua_pushinteger(lua, count);
  return 1;
}

/** row(id) -> state, epoch, reason, borrowing */
int Row(lua_State* lua) {
  const job_row* row = World(lua).Row(Text(lua, 1));
  if (row == nullptr) return 0;
  lua_pushstring(lua, std::string(JobStateName(row->state)).c_str());
  lua_pushinteger(lua, row->epoch);
  lua_pushstring(lua, row->reason.c_str());
  lua_pushboolean(lua, row->borrowing);
  return 4;
}

/** members(id) -> the workers of the job's start */
int Members(lua_State* lua) {
  const job_row* row = World(lua).Row(Text(lua, 1));
  lua_newtable(lua);
  if (row == nullptr) return 1;
  lua_Integer place = 0;
  for (const auto& member : row->members) {
    lua_pushstring(lua, member.agent.c_str());
    lua_rawseti(lua, -2, ++place);
  }
  return 1;
}

int StartDelay(lua_State* lua) {
  lua_pushinteger(lua, World(lua).StartDelay(Text(lua, 1)));
  return 1;
}

int Leader(lua_State* lua) {
  lua_pushstring(lua, World(lua).leader().c_str());
  return 1;
}

/** version(entry) -> the configuration in force there */
int Version(lua_State* lua) {
  control_core* core = World(lua).entry(Text(lua, 1));
  lua_pushinteger(lua, core != nullptr ? core->keeper().version() : -1);
  return 1;
}

/** working(worker) -> whether tasks work there */
int Working(lua_State* lua) {
  lua_pushboolean(lua, World(lua).runtime(Text(lua, 1)).working());
  return 1;
}

/** check(): fails the scenario when anything that must hold did not. */
int Check(lua_State* lua) {
  const auto& violations = World(lua).Check();
  if (violations.empty()) return 0;
  std::string all;
  for (const auto& violation : violations) all += "\n  " + violation;
  return luaL_error(lua, "violations:%s", all.c_str());
}

constexpr luaL_Reg kFunctions[] = {{"deploy", Deploy},
                                   {"submit", Submit},
                                   {"answer", Answer},
                                   {"cancel", Cancel},
                                   {"run", Run},
                                   {"run_until_ended", RunUntilEnded},
                                   {"kill_entry", KillEntry},
                                   {"start_entry", StartEntry},
                                   {"kill_agent", KillAgent},
                                   {"restart_agent", RestartAgent},
                                   {"kill_machine", KillMachine},
                                   {"pause", Pause},
                                   {"resume", Resume},
                                   {"cut", Cut},
                                   {"heal", Heal},
                                   {"crossing", Crossing},
                                   {"store", Store},
                                   {"fail_worker", FailWorker},
                                   {"domain", Domain},
                                   {"count", Count},
                                   {"row", Row},
                                   {"members", Members},
                                   {"start_delay", StartDelay},
                                   {"leader", Leader},
                                   {"version", Version},
                                   {"working", Working},
                                   {"check", Check},
                                   {nullptr, nullptr}};

/** scenario(name, seeds, function): remembers the scenario in a table. */
constexpr char kPrelude[] = R"lua(
scenarios = {}
function scenario(name, seeds, run)
  scenarios[#scenarios + 1] = {name = name, seeds = seeds, run = run}
end
function expect(condition, what)
  if not condition then error("expected: " .. what, 2) end
end
)lua";

/** Closes the interpreter at the end. */
struct lua_closer {
  void operator()(lua_State* lua) const { lua_close(lua); }
};

using lua_handle = std::unique_ptr<lua_State, lua_closer>;

lua_handle Load(const std::string& file, std::string& problem) {
  lua_handle lua(luaL_newstate());
  luaL_openlibs(lua.get());
  lua_newtable(lua.get());
  luaL_setfuncs(lua.get(), kFunctions, 0);
  lua_setglobal(lua.get(), "world");
  const bool bad = luaL_dostring(lua.get(), kPrelude) != LUA_OK ||
                   luaL_dofile(lua.get(), file.c_str()) != LUA_OK;
  if (bad) problem = lua_tostring(lua.get(), -1);
  return lua;
}

scenario_result RunOne(lua_State* lua, const std::string& name, uint64_t seed) {
  world_options options;
  options.seed = seed;
  job_world world(options);
  const char* traced = std::getenv("EELGRASS_TRACE_JOB");
  if (traced != nullptr) world.network().TraceJob(traced);
  lua_pushlightuserdata(lua, &world);
  lua_setfield(lua, LUA_REGISTRYINDEX, kWorldKey);
  lua_getglobal(lua, "math");
  lua_getfield(lua, -1, "randomseed");
  lua_pushinteger(lua, static_cast<lua_Integer>(seed));
  lua_pcall(lua, 1, 0, 0);
  lua_pop(lua, 1);
  scenario_result result{name, seed, true, {}};
  lua_getfield(lua, -1, "run");
  lua_pushinteger(lua, static_cast<lua_Integer>(seed));
  if (lua_pcall(lua, 1, 0, 0) != LUA_OK) {
    result.passed = false;
    result.problem = lua_tostring(lua, -1);
    lua_pop(lua, 1);
  }
  return result;
}

}  // namespace

std::vector<scenario_result> RunScenarioFile(const std::string& file, const std::string& only,
                                             uint64_t first_seed, int seeds) {
  std::vector<scenario_result> results;
  std::string problem;
  const lua_handle lua = Load(file, problem);
  if (!problem.empty()) return {{file, 0, false, problem}};
  lua_getglobal(lua.get(), "scenarios");
  const lua_Integer count = luaL_len(lua.get(), -1);
  for (lua_Integer i = 1; i <= count; ++i) {
    lua_rawgeti(lua.get(), -1, i);
    const int table = lua_gettop(lua.get());
    const std::string name = TextField(lua.get(), table, "name", "");
    const int64_t own_seeds = Field(lua.get(), table, "seeds", 1);
    const int64_t wanted = seeds > 0 ? seeds : own_seeds;
    const bool chosen = only.empty() || name.find(only) != std::string::npos;
    for (int64_t s = 0; chosen && s < wanted; ++s) {
      results.push_back(RunOne(lua.get(), name, first_seed + static_cast<uint64_t>(s)));
    }
    lua_pop(lua.get(), 1);
  }
  return results;
}

}  // namespace eelgrass
