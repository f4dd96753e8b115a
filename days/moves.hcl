# Extents move all the time while nodes, gateways and the map service fail.
day {
  about  = "200 moves of extents while clients write and nodes, a head and the map service fail"
  length = "40s"
  settle = "15s"
  seed   = 1
  deployment = "utility.deployment"
}

map {
  moves     = 200
  copy_rate = "16MiB"
}

trouble "a node dies" {
  kind  = "node-crash"
  nodes = ["n0", "n4"]
  at    = "6s"
  for   = "3s"
}

trouble "the map service dies" {
  kind = "map-crash"
  at   = "9s"
  for  = "2s"
}

trouble "a node goes silent" {
  kind  = "node-vanish"
  nodes = ["n2"]
  at    = "12s"
  for   = "4s"
}

trouble "the map service stands still" {
  kind = "map-stall"
  at   = "17s"
  for  = "3s"
}

trouble "a head dies" {
  kind  = "head-crash"
  heads = [1]
  at    = "20s"
  for   = "6s"
}

trouble "the map service dies again" {
  kind = "map-crash"
  at   = "24s"
  for  = "500ms"
}

trouble "a node slows" {
  kind   = "node-slow"
  nodes  = ["n3", "n6"]
  at     = "26s"
  for    = "5s"
  amount = 8
}

trouble "connections are cut" {
  kind   = "node-cut"
  nodes  = ["n5"]
  at     = "30s"
  for    = "4s"
  amount = 200000
}
