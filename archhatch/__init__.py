"""archhatch: a rollout scheduler for trainers that share model replicas with live traffic."""
