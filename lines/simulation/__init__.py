"""A simulator for the control side: the real code under a seeded scheduler, with an independent checker of histories."""
