# The deployment of bad.hcl with one kind of fault, by the simulator's name for it: reconnect.
day {
  about  = "a head dies and its clients come back to it at once"
  length = "20s"
  settle = "8s"
  seed   = 1
  deployment = "utility.deployment"
}

trouble "head" {
  kind  = "head-crash"
  heads = [1]
  at    = "4s"
  for   = "500ms"
}

trouble "again" {
  kind  = "head-crash"
  heads = [1]
  at    = "8s"
  for   = "500ms"
}
