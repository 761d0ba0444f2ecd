"""The segmented ledger: a log of accepted documents in segments. See docs/notes/ledger.md; not in use yet."""
