# A gateway is down while extents move twice, one of them back to where it was (ABA), and returns with its old map.
day {
  about  = "a head returns with a map several versions old; extents moved twice meanwhile, half of them back to where they were"
  length = "26s"
  settle = "10s"
  seed   = 1
  deployment = "utility.deployment"
}

map {
  copy_rate = "16MiB"
}

trouble "a head is away" {
  kind  = "head-crash"
  heads = [0]
  at    = "4s"
  for   = "14s"
}

trouble "the map service is silent as it returns" {
  kind = "map-stall"
  at   = "17s"
  for  = "3s"
}

move "births 0 there" {
  volume = "births"
  extent = 0
  to     = 1
  at     = "5000ms"
}

move "births 0 back" {
  volume = "births"
  extent = 0
  to     = 0
  at     = "10000ms"
}

move "births 1 there" {
  volume = "births"
  extent = 1
  to     = 2
  at     = "5100ms"
}

move "births 1 onward" {
  volume = "births"
  extent = 1
  to     = 3
  at     = "10100ms"
}

move "births 2 there" {
  volume = "births"
  extent = 2
  to     = 3
  at     = "5200ms"
}

move "births 2 back" {
  volume = "births"
  extent = 2
  to     = 2
  at     = "10200ms"
}

move "births 3 there" {
  volume = "births"
  extent = 3
  to     = 4
  at     = "5300ms"
}

move "births 3 onward" {
  volume = "births"
  extent = 3
  to     = 5
  at     = "10300ms"
}

move "births 4 there" {
  volume = "births"
  extent = 4
  to     = 5
  at     = "5400ms"
}

move "births 4 back" {
  volume = "births"
  extent = 4
  to     = 0
  at     = "10400ms"
}

move "births 5 there" {
  volume = "births"
  extent = 5
  to     = 6
  at     = "5500ms"
}

move "births 5 onward" {
  volume = "births"
  extent = 5
  to     = 7
  at     = "10500ms"
}

move "births 6 there" {
  volume = "births"
  extent = 6
  to     = 7
  at     = "5600ms"
}

move "births 6 back" {
  volume = "births"
  extent = 6
  to     = 2
  at     = "10600ms"
}

move "births 7 there" {
  volume = "births"
  extent = 7
  to     = 0
  at     = "5700ms"
}

move "births 7 onward" {
  volume = "births"
  extent = 7
  to     = 1
  at     = "10700ms"
}

move "births 8 there" {
  volume = "births"
  extent = 8
  to     = 1
  at     = "5800ms"
}

move "births 8 back" {
  volume = "births"
  extent = 8
  to     = 0
  at     = "10800ms"
}

move "births 9 there" {
  volume = "births"
  extent = 9
  to     = 2
  at     = "5900ms"
}

move "births 9 onward" {
  volume = "births"
  extent = 9
  to     = 3
  at     = "10900ms"
}

move "births 10 there" {
  volume = "births"
  extent = 10
  to     = 3
  at     = "6000ms"
}

move "births 10 back" {
  volume = "births"
  extent = 10
  to     = 2
  at     = "11000ms"
}

move "births 11 there" {
  volume = "births"
  extent = 11
  to     = 4
  at     = "6100ms"
}

move "births 11 onward" {
  volume = "births"
  extent = 11
  to     = 5
  at     = "11100ms"
}

move "births 12 there" {
  volume = "births"
  extent = 12
  to     = 5
  at     = "6200ms"
}

move "births 12 back" {
  volume = "births"
  extent = 12
  to     = 0
  at     = "11200ms"
}

move "births 13 there" {
  volume = "births"
  extent = 13
  to     = 6
  at     = "6300ms"
}

move "births 13 onward" {
  volume = "births"
  extent = 13
  to     = 7
  at     = "11300ms"
}

move "births 14 there" {
  volume = "births"
  extent = 14
  to     = 7
  at     = "6400ms"
}

move "births 14 back" {
  volume = "births"
  extent = 14
  to     = 2
  at     = "11400ms"
}

move "births 15 there" {
  volume = "births"
  extent = 15
  to     = 0
  at     = "6500ms"
}

move "births 15 onward" {
  volume = "births"
  extent = 15
  to     = 1
  at     = "11500ms"
}

move "births 16 there" {
  volume = "births"
  extent = 16
  to     = 1
  at     = "6600ms"
}

move "births 16 back" {
  volume = "births"
  extent = 16
  to     = 0
  at     = "11600ms"
}

move "births 17 there" {
  volume = "births"
  extent = 17
  to     = 2
  at     = "6700ms"
}

move "births 17 onward" {
  volume = "births"
  extent = 17
  to     = 3
  at     = "11700ms"
}

move "births 18 there" {
  volume = "births"
  extent = 18
  to     = 3
  at     = "6800ms"
}

move "births 18 back" {
  volume = "births"
  extent = 18
  to     = 2
  at     = "11800ms"
}

move "births 19 there" {
  volume = "births"
  extent = 19
  to     = 4
  at     = "6900ms"
}

move "births 19 onward" {
  volume = "births"
  extent = 19
  to     = 5
  at     = "11900ms"
}

move "births 20 there" {
  volume = "births"
  extent = 20
  to     = 5
  at     = "7000ms"
}

move "births 20 back" {
  volume = "births"
  extent = 20
  to     = 0
  at     = "12000ms"
}

move "births 21 there" {
  volume = "births"
  extent = 21
  to     = 6
  at     = "7100ms"
}

move "births 21 onward" {
  volume = "births"
  extent = 21
  to     = 7
  at     = "12100ms"
}

move "births 22 there" {
  volume = "births"
  extent = 22
  to     = 7
  at     = "7200ms"
}

move "births 22 back" {
  volume = "births"
  extent = 22
  to     = 2
  at     = "12200ms"
}

move "births 23 there" {
  volume = "births"
  extent = 23
  to     = 0
  at     = "7300ms"
}

move "births 23 onward" {
  volume = "births"
  extent = 23
  to     = 1
  at     = "12300ms"
}
