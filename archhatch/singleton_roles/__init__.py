"""Singleton roles: leases with fencing tokens, and effects that are done once, kept in registers on the stores."""
