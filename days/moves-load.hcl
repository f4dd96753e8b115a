# 200 moves under a load of about 0.7 of the nodes' capacity and no other fault: shows the cost of moves alone.
day {
  about  = "200 moves at 70% of capacity with nothing failing, for measurements"
  length = "45s"
  settle = "12s"
  seed   = 1
  deployment = "utility.deployment"
}

map {
  moves      = 200
  moves_from = "15s"
  moves_for  = "25s"
  copy_rate  = "16MiB"
}

volume "births" {
  shards = [0, 1, 2, 3, 4, 5, 6, 7]
}

volume "marriages" {
  shards = [0, 1, 2, 3, 4, 5, 6, 7]
}

volume "scans" {
  shards = [0, 1, 2, 3, 4, 5, 6, 7]
}

load "counter-births" {
  connections = 24
  rate        = 640
  leave_every = "0s"
}

load "counter-marriages" {
  connections = 24
  rate        = 560
  leave_every = "0s"
}
