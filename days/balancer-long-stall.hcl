# A gateway is stopped for longer than any deadline: it can't answer, but must do nothing wrong when it resumes.
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
