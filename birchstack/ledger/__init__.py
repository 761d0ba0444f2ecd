"""The ledger at scale: a segmented log of what is owed. See docs/notes/ledger.md; not switched on yet."""
