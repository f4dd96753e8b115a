# The deployment of bad.hcl with one kind of fault, by the simulator's name for it: tenant_burst.
day {
  about  = "the volume of one plan asks for many times its limit"
  length = "20s"
  settle = "8s"
  seed   = 1
  deployment = "utility.deployment"
}

trouble "scans" {
  kind   = "surge"
  loads  = ["archive-scans"]
  at     = "4s"
  for    = "10s"
  amount = 20
}
