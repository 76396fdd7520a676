"""The autoscaler: orders replicas from the platform for services with `Autoscale`."""
