"""Adapter to the simulator's wire: reads batches, hosts many independent senders and writes their replies."""
