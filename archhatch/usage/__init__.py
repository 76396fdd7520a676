"""Usage by tenant: counted at the edges, collected on stores, reported to the platform once for each window."""
