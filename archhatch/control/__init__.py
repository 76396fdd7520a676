"""The control plane: agreement on the configuration, the registry of replicas, and the feed that tells others."""
