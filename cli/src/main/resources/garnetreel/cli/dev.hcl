# Settings of `garnetreel dev`: one head, nodes that cost nothing, and times so wide that nothing is refused for lateness.
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
