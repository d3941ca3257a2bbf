-- Two failures that overlap, chosen at random from the seed among all kinds of failures.

local CHARQUI = "examples/charqui.json"
local WORKERS = {"maipu-m1-1", "maipu-m1-2", "maipu-m1-3", "maipu-m2-1", "lujan-l1-1",
  "lujan-l1-2", "lujan-l1-3", "godoy-g1-1", "godoy-g1-2", "godoy-g1-3"}

local function random_worker() return WORKERS[math.random(1, #WORKERS)] end

local next_entry = 10

-- Each function starts a failure and returns a function that ends it.
local failures = {
  entry_killed = function()
    local leader = world.leader()
    if leader == "" then return function() end end
    world.kill_entry(leader)
    return function()
      next_entry = next_entry + 1
      world.start_entry("x" .. next_entry)
    end
  end,
  entry_paused = function()
    local leader = world.leader()
    if leader == "" then return function() end end
    world.pause(leader)
    return function() world.resume(leader) end
  end,
  agent_killed = function()
    local id = random_worker()
    world.kill_agent(id, math.random(0, 1))
    return function() world.restart_agent(id) end
  end,
  agent_paused = function()
    local id = random_worker()
    world.pause(id)
    return function() world.resume(id) end
  end,
  machine_died = function()
    local id = random_worker()
    world.kill_machine(id)
    return function() world.restart_agent(id) end
  end,
  store_down = function()
    world.store{down = 1}
    return function() world.store{} end
  end,
  store_slow = function()
    world.store{delay_ms = 5000}
    return function() world.store{} end
  end,
  answers_lost = function()
    world.store{lost_percent = 50}
    return function() world.store{} end
  end,
  entry_cut = function()
    local id = random_worker()
    for i = 1, 3 do world.cut("e" .. i, id) end
    return function() for i = 1, 3 do world.heal("e" .. i, id) end end
  end,
  agents_cut = function()
    local a, b = random_worker(), random_worker()
    if a == b then return function() end end
    world.cut(a, b)
    return function() world.heal(a, b) end
  end,
  domain_out = function()
    world.domain("e3", "godoy", "out", "move")
    return function() world.domain("e3", "godoy", "in") end
  end,
  cancellations = function()
    for i = 1, 6 do world.cancel("e2", "none" .. i) end
    return function() end
  end,
  crossing = function()
    world.crossing(true)
    return function() world.crossing(false) end
  end,
}

local names = {}
for name in pairs(failures) do names[#names + 1] = name end
table.sort(names)

local function submit_mixed_jobs(count)
  local organisations = {"secadero", "exporta", "tienda", "calidad"}
  local classes = {"cure-model", "quote-batch", "dispatch", "cure-model", "label-run"}
  for i = 1, count do
    world.submit("e" .. (i % 3 + 1), {organisation = organisations[math.random(1, 4)],
      class = classes[math.random(1, 5)], tasks = math.random(1, 4),
      accelerators = 2 ^ math.random(0, 2) // 1, within = "rack",
      run_ms = math.random(1000, 12000), declared_ms = math.random(500, 40000), number = i})
    world.run(math.random(0, 300))
  end
end

scenario("two failures at once", 60, function()
  world.deploy(CHARQUI)
  submit_mixed_jobs(10)
  local first = names[math.random(1, #names)]
  local second = names[math.random(1, #names)]
  -- The same failure is not started twice, since ending it twice would restart an agent twice.
  local end_first = failures[first]()
  world.run(math.random(0, 4000))
  local end_second = first ~= second and failures[second]() or function() end
  submit_mixed_jobs(4)
  world.run(math.random(1000, 15000))
  end_first()
  world.run(math.random(0, 3000))
  end_second()
  world.run(5000)
  if not world.run_until_ended(600000) then
    error("not all jobs end after " .. first .. " and " .. second)
  end
  local ok, problem = pcall(world.check)
  if not ok then error(first .. " and " .. second .. ": " .. problem) end
end)
