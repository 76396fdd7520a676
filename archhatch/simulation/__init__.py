"""A simulator for the control side: the real code under a seeded scheduler, and an independent judge of histories."""
