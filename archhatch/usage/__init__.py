"""Usage by tenant: counted at the edges, gathered on stores, reported to the platform once for each window."""
