# The deployment of bad.hcl with one kind of fault, by the simulator's name for it: give_up.
day {
  about  = "clients leave all the time with work outstanding, while a node is slow"
  length = "20s"
  settle = "8s"
  seed   = 1
  deployment = "utility.deployment"
}

load "counter-births" {
  leave_every = "300ms"
}

load "counter-marriages" {
  leave_every = "300ms"
}

trouble "slow" {
  kind   = "node-slow"
  nodes  = ["n0", "n4"]
  at     = "3s"
  for    = "10s"
  amount = 10
}
