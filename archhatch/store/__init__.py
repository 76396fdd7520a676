"""The store nodes: batches of work and their results, replicated; the controller of rollouts runs here."""
