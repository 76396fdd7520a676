"""Autoscaling: how many replicas of a service run in each zone, ordered from the platform by one store at a time."""
