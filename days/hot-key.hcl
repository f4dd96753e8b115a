# The deployment of bad.hcl with one kind of fault, by the simulator's name for it: hot_key.
day {
  about  = "many writes at few pieces of data, in order"
  length = "20s"
  settle = "8s"
  seed   = 1
  deployment = "utility.deployment"
}

bounds {
  key = "1MiB"
}

trouble "entries" {
  kind   = "surge"
  loads  = ["counter-marriages"]
  at     = "4s"
  for    = "8s"
  amount = 4
}
