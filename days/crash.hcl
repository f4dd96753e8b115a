# The deployment of bad.hcl with one kind of fault, by the simulator's name for it: crash.
day {
  about  = "an eighth of the nodes die and come back cold"
  length = "20s"
  settle = "8s"
  seed   = 1
  deployment = "utility.deployment"
}

trouble "nodes die" {
  kind  = "node-crash"
  nodes = ["n2"]
  at    = "4s"
  for   = "5s"
}
