"""What senders tell one another of endpoints, by way of the keepers: pure modules, no clock, no socket."""
