"""The simulator's wire: reads batches, hosts many senders that share nothing, writes replies."""
