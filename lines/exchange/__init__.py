"""The exchange: control nodes and stores."""
