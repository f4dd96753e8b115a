# The deployment of bad.hcl with one kind of fault, by the simulator's name for it: vanish.
day {
  about  = "nodes go silent without a reset and come back cold"
  length = "20s"
  settle = "8s"
  seed   = 1
  deployment = "utility.deployment"
}

trouble "silence" {
  kind  = "node-vanish"
  nodes = ["n1", "n5"]
  at    = "4s"
  for   = "7s"
}
