# A bad day at the civil records utility, on a small scale: three gateways, eight nodes, and nearly every kind of fault.
day {
  about  = "crashes, silence, slowness, cold returns, a lagging list, a dying head, a surge past a limit, clients that leave"
  length = "40s"
  settle = "8s"
  seed   = 1
}

service {
  heads  = 3
  margin = "60ms"
}

list {
  listen = "127.0.0.1:0"
  lag    = "300ms"
}

class "record-read" {
  aim        = "400ms"
  deadline   = "2.5s"
  effect     = "repeatable"
  late_share = 0.15
  worth      = 3
}

class "record-write" {
  aim        = "400ms"
  deadline   = "3s"
  effect     = "once"
  late_share = 0.1
  worth      = 2
  writes     = true
}

class "entry-write" {
  aim        = "400ms"
  deadline   = "2s"
  effect     = "keyed"
  group      = "cell"
  window     = "2.5s"
  in_order   = true
  late_share = 0.1
  worth      = 2
  writes     = true
}

class "flush" {
  aim      = "1s"
  deadline = "3s"
  effect   = "repeatable"
}

plan "archive" {
  limit        = 120
  burst        = 160
  slack        = 16
  worth_factor = 0.96
  rate         = 30
  reserve      = 15
  weight       = 1
}

plan "standard" {
  worth_factor = 1.2
  rate         = 60
  reserve      = 60
  weight       = 2
}

plan "priority" {
  worth_factor = 1.8
  rate         = 100
  reserve      = 100
  weight       = 3
}

rules {
  answer_slack        = "8ms"
  ask_every           = "10s"
  free_extras         = 3
  extra_ratio         = 0.1
  extra_window        = "5s"
  cold_share          = 0.15
  warm_within         = "8s"
  stop_sending_within = "500ms"
  fall_multiple       = 2.5
  fall                = "2s"
  key_quiet           = "200ms"
}

module {
  young_limit = 24
  mean_units  = 2
  most_units  = 8
  share_worth = 0.4
  idle_worth  = 0.1
  try_limit   = 3
  stay_away   = "1s"
}

volume "births" {
  id          = 1
  size        = "16MiB"
  plan        = "priority"
  read_class  = "record-read"
  write_class = "record-write"
  flush_class = "flush"
  shards      = [0, 1, 2, 3]
  extent      = "256KiB"
}

volume "marriages" {
  id          = 2
  size        = "16MiB"
  plan        = "standard"
  read_class  = "record-read"
  write_class = "entry-write"
  flush_class = "flush"
  shards      = [2, 3, 4, 5]
  extent      = "256KiB"
}

volume "scans" {
  id          = 3
  size        = "16MiB"
  plan        = "archive"
  read_class  = "record-read"
  write_class = "record-write"
  flush_class = "flush"
  hosts       = 2
  shards      = [4, 5, 6, 7]
  extent      = "256KiB"
}

bounds {
  unit = "16KiB"
}

links {
  connect_timeout = "250ms"
}

node "n0" {
  shard       = 0
  cores       = 2
  queue       = 24
  base_work   = "4ms"
  unit_work   = "4ms"
  power       = 250
  defer_share = 0.3
  journal     = true
}

node "n1" {
  shard       = 1
  cores       = 2
  queue       = 24
  base_work   = "4ms"
  unit_work   = "4ms"
  power       = 250
  defer_share = 0.3
  journal     = true
}

node "n2" {
  shard       = 2
  cores       = 2
  queue       = 24
  base_work   = "4ms"
  unit_work   = "4ms"
  power       = 250
  defer_share = 0.3
  journal     = true
}

node "n3" {
  shard       = 3
  cores       = 2
  queue       = 24
  base_work   = "4ms"
  unit_work   = "4ms"
  power       = 250
  defer_share = 0.3
  journal     = true
}

node "n4" {
  shard       = 4
  cores       = 2
  queue       = 24
  base_work   = "4ms"
  unit_work   = "4ms"
  power       = 250
  defer_share = 0.3
  journal     = true
}

node "n5" {
  shard       = 5
  cores       = 2
  queue       = 24
  base_work   = "4ms"
  unit_work   = "4ms"
  power       = 250
  defer_share = 0.3
  journal     = true
  pause_every = "6s"
  pause_most  = "300ms"
}

node "n6" {
  shard       = 6
  cores       = 2
  queue       = 24
  base_work   = "4ms"
  unit_work   = "4ms"
  power       = 250
  defer_share = 0.3
  journal     = true
}

node "n7" {
  shard       = 7
  cores       = 2
  queue       = 24
  base_work   = "4ms"
  unit_work   = "4ms"
  power       = 250
  defer_share = 0.3
  journal     = true
}

load "counter-births" {
  volume      = "births"
  heads       = [0, 1, 2]
  connections = 6
  rate        = 90
  read_share  = 0.6
  flush_share = 0.05
  sizes       = ["4KiB", "16KiB", "32KiB"]
  retries     = 1
  leave_every = "5s"
}

load "counter-marriages" {
  volume      = "marriages"
  heads       = [1, 2, 0]
  connections = 6
  rate        = 80
  read_share  = 0.5
  sizes       = ["4KiB", "16KiB"]
  retries     = 1
  leave_every = "7s"
}

load "archive-scans" {
  volume      = "scans"
  heads       = [2, 0]
  connections = 4
  rate        = 30
  read_share  = 0.5
  sizes       = ["16KiB", "64KiB", "128KiB"]
  retries     = 1
}

trouble "scans surge past their limit" {
  kind   = "surge"
  loads  = ["archive-scans"]
  at     = "4s"
  for    = "8s"
  amount = 12
}

trouble "a node dies" {
  kind  = "node-crash"
  nodes = ["n0", "n4"]
  at    = "6s"
  for   = "3s"
}

trouble "the list lags" {
  kind   = "list-lag"
  at     = "5s"
  for    = "14s"
  amount = 3
}

trouble "a node goes silent" {
  kind  = "node-vanish"
  nodes = ["n2"]
  at    = "12s"
  for   = "5s"
}

trouble "a node slows" {
  kind   = "node-slow"
  nodes  = ["n3", "n6"]
  at     = "10s"
  for    = "9s"
  amount = 8
}

trouble "a head dies" {
  kind  = "head-crash"
  heads = [1]
  at    = "14s"
  for   = "3s"
}

trouble "fast errors" {
  kind   = "node-errors"
  nodes  = ["n7"]
  at     = "20s"
  for    = "5s"
  amount = 0.6
}

trouble "answers are lost" {
  kind   = "node-lost-answers"
  nodes  = ["n5"]
  at     = "21s"
  for    = "4s"
  amount = 0.3
}

trouble "a node drains" {
  kind  = "node-drain"
  nodes = ["n1"]
  at    = "24s"
  for   = "3s"
}

trouble "connections are cut" {
  kind   = "node-cut"
  nodes  = ["n6"]
  at     = "27s"
  for    = "4s"
  amount = 50000
}

trouble "a node is half open" {
  kind  = "node-half-open"
  nodes = ["n4"]
  at    = "28s"
  for   = "3s"
}

trouble "a head stalls" {
  kind  = "head-stall"
  heads = [2]
  at    = "32s"
  for   = "400ms"
}

trouble "the list is silent" {
  kind = "list-silent"
  at   = "30s"
  for  = "7s"
}
