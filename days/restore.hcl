# The map service loses the end of its journal while extents move: it must notice and rebuild its maps from the nodes.
day {
  about  = "the map service comes back from a backup 60 transactions old, twice, amid 150 moves"
  length = "40s"
  settle = "15s"
  seed   = 1
  deployment = "utility.deployment"
}

map {
  moves          = 150
  copy_rate      = "16MiB"
  snapshot_every = 50
}

trouble "a restore" {
  kind   = "map-restore"
  at     = "12s"
  for    = "500ms"
  amount = 60
}

trouble "a head sleeps through it" {
  kind  = "head-crash"
  heads = [2]
  at    = "8s"
  for   = "12s"
}

trouble "a restore and a dead node" {
  kind   = "map-restore"
  at     = "26s"
  for    = "500ms"
  amount = 60
}

trouble "a node dies" {
  kind  = "node-crash"
  nodes = ["n3"]
  at    = "25s"
  for   = "2s"
}
