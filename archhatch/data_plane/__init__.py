"""The edge node: takes clients' requests and sends them to replicas and stores."""
