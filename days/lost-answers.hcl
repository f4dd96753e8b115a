# The deployment of bad.hcl with one kind of fault, by the simulator's name for it: lost_answers.
day {
  about  = "answers are lost at every node"
  length = "20s"
  settle = "8s"
  seed   = 1
  deployment = "utility.deployment"
}

trouble "lost answers" {
  kind   = "node-lost-answers"
  nodes  = ["n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7"]
  at     = "4s"
  for    = "6s"
  amount = 0.2
}
