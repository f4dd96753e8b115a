# A head gets no turn for longer than any deadline: no stopped process can answer, but it must do nothing wrong as it wakes.
day {
  about  = "a head is stopped for three seconds, twice, longer than the deadlines of what it holds"
  length = "25s"
  settle = "8s"
  seed   = 1
  deployment = "utility.deployment"
}

trouble "a head is stopped" {
  kind  = "head-stall"
  heads = [0]
  at    = "6s"
  for   = "3s"
}

trouble "and again with a surge" {
  kind  = "head-stall"
  heads = [1]
  at    = "14s"
  for   = "3.5s"
}
