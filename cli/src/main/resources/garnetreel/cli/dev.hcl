# Settings of `garnetreel dev`: one gateway, nodes of no cost, and times so long that no request is refused as late.
service {
  heads = 1
}

class "read" {
  aim      = "20s"
  deadline = "30s"
  effect   = "repeatable"
}

class "write" {
  aim      = "20s"
  deadline = "30s"
  effect   = "keyed"
  group    = "cell"
  window   = "5s"
  writes   = true
}

class "flush" {
  aim      = "20s"
  deadline = "30s"
  effect   = "repeatable"
}

plan "open" {
  rate   = 100000
  weight = 1
}

module {
  most_units = 16
  mean_units = 2
}
