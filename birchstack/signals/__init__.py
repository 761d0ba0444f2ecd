"""Endpoint signals exchanged between senders through the collectors: pure modules, no clock, no socket."""
