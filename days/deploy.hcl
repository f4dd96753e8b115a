# The deployment of bad.hcl with one kind of fault, by the simulator's name for it: deploy.
day {
  about  = "all nodes are replaced one after the other, each after a drain"
  length = "20s"
  settle = "8s"
  seed   = 1
  deployment = "utility.deployment"
}

trouble "replace n0" {
  kind  = "node-drain"
  nodes = ["n0"]
  at    = "2s"
  for   = "2s"
}

trouble "replace n1" {
  kind  = "node-drain"
  nodes = ["n1"]
  at    = "4s"
  for   = "2s"
}

trouble "replace n2" {
  kind  = "node-drain"
  nodes = ["n2"]
  at    = "6s"
  for   = "2s"
}

trouble "replace n3" {
  kind  = "node-drain"
  nodes = ["n3"]
  at    = "8s"
  for   = "2s"
}

trouble "replace n4" {
  kind  = "node-drain"
  nodes = ["n4"]
  at    = "10s"
  for   = "2s"
}

trouble "replace n5" {
  kind  = "node-drain"
  nodes = ["n5"]
  at    = "12s"
  for   = "2s"
}

trouble "replace n6" {
  kind  = "node-drain"
  nodes = ["n6"]
  at    = "14s"
  for   = "2s"
}

trouble "replace n7" {
  kind  = "node-drain"
  nodes = ["n7"]
  at    = "16s"
  for   = "2s"
}
