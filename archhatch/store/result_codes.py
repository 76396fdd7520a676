"""The numbered result codes of calls between nodes that a store gives or acts on (docs/codes.md)."""

from __future__ import annotations

DONE = 1000
NO_ROUTE = 2006  # the caller's configuration is not this store's
UNKNOWN_JOB = 2007
OTHER_INCARNATION = 2008  # the call is meant for another store than the one at this address
OTHER_RUN = 2020  # the job belongs to another run, which the answer names
NO_REPLICA_FREE = 3002
NOT_CERTAIN = 3004  # the store cannot tell yet; the caller asks again
NOT_TAKEN = 3005  # nothing was taken: another store may be asked without risk
NO_ROOM = 3008
DISK_FAILED = 3010
NO_MEMORY = 3013  # too little memory for a job's body at the moment; nothing was taken
