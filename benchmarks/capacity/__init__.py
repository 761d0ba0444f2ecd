"""Slopes: what a sender and a fleet cost for each thing more of something, with the line and its error.

    python -m benchmarks.capacity [NAME ...] [--small] [--out FILE]

One file a slope; docs/capacity/NAME.json holds its last run at full size, and
docs/CAPACITY.md follows from these.
"""
