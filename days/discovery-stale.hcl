# The deployment of bad.hcl with one kind of fault, by the simulator's name for it: discovery_stale.
day {
  about  = "the list lags by seconds, fails calls, falls silent and dies while nodes change"
  length = "20s"
  settle = "8s"
  seed   = 1
  deployment = "utility.deployment"
}

trouble "lag" {
  kind   = "list-lag"
  at     = "2s"
  for    = "8s"
  amount = 4
}

trouble "a node dies meanwhile" {
  kind  = "node-crash"
  nodes = ["n2"]
  at    = "3s"
  for   = "3s"
}

trouble "silent" {
  kind = "list-silent"
  at   = "9s"
  for  = "6s"
}

trouble "calls fail" {
  kind = "list-fail"
  at   = "10s"
  for  = "6s"
}

trouble "gone" {
  kind = "list-crash"
  at   = "17s"
  for  = "2s"
}
