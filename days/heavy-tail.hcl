# The deployment of bad.hcl with one kind of fault, by the simulator's name for it: heavy_tail.
day {
  about  = "requests cost many times their told size at some nodes"
  length = "20s"
  settle = "8s"
  seed   = 1
  deployment = "utility.deployment"
}

trouble "heavy" {
  kind   = "node-slow"
  nodes  = ["n1", "n3", "n5", "n7"]
  at     = "4s"
  for    = "8s"
  amount = 6
}
