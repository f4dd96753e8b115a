# The deployment of bad.hcl with one sort of trouble, as the bench names it: crash.
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
