# The deployment of bad.hcl with one kind of fault, by the simulator's name for it: connections_cut.
day {
  about  = "connections are cut after so many bytes, refused, or left half open"
  length = "20s"
  settle = "8s"
  seed   = 1
  deployment = "utility.deployment"
}

trouble "cut" {
  kind   = "node-cut"
  nodes  = ["n0", "n1", "n2"]
  at     = "3s"
  for    = "6s"
  amount = 60000
}

trouble "refused" {
  kind  = "node-refuse"
  nodes = ["n3"]
  at    = "6s"
  for   = "3s"
}

trouble "half open" {
  kind  = "node-half-open"
  nodes = ["n4"]
  at    = "8s"
  for   = "4s"
}

trouble "corrupt" {
  kind   = "node-corrupt"
  nodes  = ["n6"]
  at     = "9s"
  for    = "4s"
  amount = 0.2
}
