# The deployment of bad.hcl with one kind of fault, by the simulator's name for it: balancer_crash.
day {
  about  = "two of three heads die, one after the other, and come back"
  length = "20s"
  settle = "8s"
  seed   = 1
  deployment = "utility.deployment"
}

trouble "first head" {
  kind  = "head-crash"
  heads = [0]
  at    = "4s"
  for   = "3s"
}

trouble "second head" {
  kind  = "head-crash"
  heads = [2]
  at    = "9s"
  for   = "2s"
}
