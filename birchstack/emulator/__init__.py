"""A world for the sender, of the project's own: the systems it serves, played in virtual time or on sockets.

The sender never imports this package; see docs/notes/emulator.md.
"""
