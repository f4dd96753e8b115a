# Requests across extent boundaries while either side moves, at any moment, also between split and send.
day {
  about  = "most requests cross a border of extents, and every extent of their volume moves three times"
  length = "30s"
  settle = "12s"
  seed   = 1
  deployment = "utility.deployment"
}

map {
  moves     = 190
  copy_rate = "64MiB"
  moves_at_once = 4
}

volume "births" {
  size   = "4MiB"
  extent = "16KiB"
}

volume "marriages" {
  size   = "4MiB"
  extent = "16KiB"
}

volume "scans" {
  size   = "4MiB"
  extent = "64KiB"
}

load "counter-births" {
  sizes = ["32KiB", "64KiB"]
  rate  = 50
}

load "counter-marriages" {
  sizes = ["32KiB", "48KiB"]
  rate  = 45
}
