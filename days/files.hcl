# Rsync pushes and pulls folders beside NBD load; nodes, the gateway serving the rsync module and the node list fail.
day {
  about  = "rsync pushes and pulls beside NBD load on a bad day; every file byte for byte a version that was pushed"
  length = "40s"
  settle = "30s"
  seed   = 1
  deployment = "utility.deployment"
}

plan "folders" {
  rate   = 60
  weight = 1
}

volume "folders" {
  id          = 9
  size        = "64MiB"
  plan        = "folders"
  read_class  = "record-read"
  write_class = "record-write"
  flush_class = "flush"
  hosts       = 1
  shards      = [0, 2, 4, 6]
  extent      = "256KiB"
}

module_of_files "pages" {
  comment = "scanned pages of the wards"
  volume  = "folders"
  head    = 1
}

module_of_files "deeds" {
  volume = "deeds"
  head   = 2
}

volume "deeds" {
  id          = 10
  size        = "64MiB"
  plan        = "folders"
  read_class  = "record-read"
  write_class = "entry-write"
  flush_class = "flush"
  hosts       = 1
  shards      = [1, 3, 5, 7]
  extent      = "256KiB"
}

folder "ward-offices" {
  module  = "pages"
  files   = 12
  least   = "1KiB"
  most    = "300KiB"
  changes = 3
  rest    = "300ms"
}

folder "notaries" {
  module  = "deeds"
  files   = 40
  least   = "0B"
  most    = "20KiB"
  changes = 6
  rest    = "200ms"
}

trouble "a node dies" {
  kind  = "node-crash"
  nodes = ["n4"]
  at    = "6s"
  for   = "3s"
}

trouble "a node goes silent" {
  kind  = "node-vanish"
  nodes = ["n3"]
  at    = "11s"
  for   = "4s"
}

trouble "the head that serves a module dies" {
  kind  = "head-crash"
  heads = [1]
  at    = "17s"
  for   = "1500ms"
}

trouble "a node loses answers" {
  kind   = "node-lost-answers"
  nodes  = ["n6"]
  at     = "20s"
  for    = "4s"
  amount = 0.2
}

trouble "another head dies" {
  kind  = "head-crash"
  heads = [2]
  at    = "26s"
  for   = "2s"
}

trouble "a node slows" {
  kind   = "node-slow"
  nodes  = ["n1", "n2"]
  at     = "29s"
  for    = "6s"
  amount = 6
}

trouble "connections are cut" {
  kind   = "node-cut"
  nodes  = ["n5"]
  at     = "33s"
  for    = "4s"
  amount = 400000
}
