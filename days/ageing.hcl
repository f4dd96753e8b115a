# The deployment of bad.hcl with one kind of fault, by the simulator's name for it: ageing.
day {
  about  = "nodes slow down by steps before they die"
  length = "20s"
  settle = "8s"
  seed   = 1
  deployment = "utility.deployment"
}

trouble "slower" {
  kind   = "node-slow"
  nodes  = ["n3"]
  at     = "3s"
  for    = "4s"
  amount = 3
}

trouble "slower still" {
  kind   = "node-slow"
  nodes  = ["n3"]
  at     = "7s"
  for    = "5s"
  amount = 12
}

trouble "dead" {
  kind  = "node-crash"
  nodes = ["n3"]
  at    = "12s"
  for   = "3s"
}
