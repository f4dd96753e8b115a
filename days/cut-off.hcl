# The map service can't reach old holders but gateways can: no extent of theirs may be served elsewhere meanwhile.
day {
  about  = "nodes are cut off from the map service while their extents are to move; heads sleep and come back with old maps"
  length = "40s"
  settle = "15s"
  seed   = 1
  deployment = "utility.deployment"
}

map {
  moves     = 160
  copy_rate = "16MiB"
}

trouble "two nodes are cut off" {
  kind  = "node-cut-off"
  nodes = ["n1", "n4"]
  at    = "6s"
  for   = "10s"
}

trouble "a head is away while extents move twice" {
  kind  = "head-crash"
  heads = [0]
  at    = "4s"
  for   = "14s"
}

trouble "another node is cut off and dies" {
  kind  = "node-cut-off"
  nodes = ["n2"]
  at    = "20s"
  for   = "6s"
}

trouble "it dies" {
  kind  = "node-crash"
  nodes = ["n2"]
  at    = "23s"
  for   = "1s"
}

trouble "the map service dies meanwhile" {
  kind = "map-crash"
  at   = "22s"
  for  = "1s"
}
