"""Emulator of the sender's environment: clients, destinations and discovery, in virtual time or on sockets.

The sender never imports this package; see docs/notes/emulator.md.
"""
