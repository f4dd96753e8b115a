# The deployment of bad.hcl with one kind of fault, by the simulator's name for it: scan.
day {
  about  = "one volume reads its whole range beside the counters"
  length = "20s"
  settle = "8s"
  seed   = 1
  deployment = "utility.deployment"
}

trouble "scan" {
  kind   = "surge"
  loads  = ["counter-births"]
  at     = "4s"
  for    = "10s"
  amount = 4
}
