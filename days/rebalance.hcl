# The rebalancer at work: a shard is drained, a node ages, another restarts cold, and load is uneven from the start.
day {
  about  = "a shard drains, a node ages and another restarts cold while the rebalancer moves what it sees fit"
  length = "45s"
  settle = "15s"
  seed   = 1
  deployment = "utility.deployment"
}

map {
  copy_rate     = "16MiB"
  rebalance     = true
  power         = 250
  moves_at_once = 3
  difference    = 0.1
  rest          = "10s"
  cold_for      = "10s"
}

drain "shard 7 is to go" {
  shard = 7
  at    = "5s"
}

trouble "a node ages" {
  kind   = "node-slow"
  nodes  = ["n2"]
  at     = "8s"
  for    = "30s"
  amount = 2.5
}

trouble "a node restarts" {
  kind  = "node-crash"
  nodes = ["n0"]
  at    = "15s"
  for   = "2s"
}

trouble "the map service dies" {
  kind = "map-crash"
  at   = "20s"
  for  = "1s"
}
