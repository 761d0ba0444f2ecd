"""Audit trail of each sender, versions of what senders act on, lag detection and exchange of signals."""
