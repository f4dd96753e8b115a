# The deployment of bad.hcl with one kind of fault, by the simulator's name for it: fast_errors.
day {
  about  = "some nodes fail most requests at once"
  length = "20s"
  settle = "8s"
  seed   = 1
  deployment = "utility.deployment"
}

trouble "errors" {
  kind   = "node-errors"
  nodes  = ["n0", "n5"]
  at     = "4s"
  for    = "8s"
  amount = 0.8
}
