# A small service on one host: a node list, two nodes, the map service and a gateway. Start: see docs/operations.md.
service {
  heads = 1
  list  = "127.0.0.1:7001"
  map   = "127.0.0.1:7002"
}

list {
  listen = "127.0.0.1:7001"
}

map {
  listen = "127.0.0.1:7002"
  state  = "/tmp/garnetreel-example/map"
}

head "0" {
  listen = "127.0.0.1:7003"
  state  = "/tmp/garnetreel-example/head-0"
}

class "read" {
  aim      = "400ms"
  deadline = "3s"
  effect   = "repeatable"
}

class "write" {
  aim      = "400ms"
  deadline = "3s"
  effect   = "once"
  writes   = true
}

plan "standard" {
  rate   = 1000
  weight = 1
}

volume "births" {
  id          = 1
  size        = "64MiB"
  plan        = "standard"
  read_class  = "read"
  write_class = "write"
  flush_class = "read"
  shards      = [0, 1]
  extent      = "1MiB"
}

node "n0" {
  shard  = 0
  listen = "127.0.0.1:7010"
}

node "n1" {
  shard  = 1
  listen = "127.0.0.1:7011"
}
