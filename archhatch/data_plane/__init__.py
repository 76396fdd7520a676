"""The switchboard: takes clients' requests and connects them to replicas and stores."""
