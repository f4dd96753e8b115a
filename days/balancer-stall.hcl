# The deployment of bad.hcl with one kind of fault, by the simulator's name for it: balancer_stall.
day {
  about  = "heads get no processor for a while"
  length = "20s"
  settle = "8s"
  seed   = 1
  deployment = "utility.deployment"
}

trouble "stall" {
  kind  = "head-stall"
  heads = [0, 1]
  at    = "5s"
  for   = "700ms"
}

trouble "again" {
  kind  = "head-stall"
  heads = [2]
  at    = "9s"
  for   = "400ms"
}
