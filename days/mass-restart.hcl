# The deployment of bad.hcl with one kind of fault, by the simulator's name for it: mass_restart.
day {
  about  = "half of the nodes restart at once and come back cold"
  length = "20s"
  settle = "8s"
  seed   = 1
  deployment = "utility.deployment"
}

trouble "half restart" {
  kind  = "node-crash"
  nodes = ["n0", "n2", "n4", "n6"]
  at    = "4s"
  for   = "4s"
}
