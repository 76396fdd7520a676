"""The duty ledger: leases with fences, and effects that are done once, in registers on the stores."""
