"""The real sender: the decisions on sockets."""
