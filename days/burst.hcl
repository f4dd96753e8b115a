# The deployment of bad.hcl with one kind of fault, by the simulator's name for it: burst.
day {
  about  = "every load asks for several times its usual"
  length = "20s"
  settle = "8s"
  seed   = 1
  deployment = "utility.deployment"
}

trouble "burst" {
  kind   = "surge"
  loads  = ["counter-births", "counter-marriages", "archive-scans"]
  at     = "4s"
  for    = "6s"
  amount = 4
}
