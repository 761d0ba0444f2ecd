"""Test rig: many processes of birchstack, with links between them into which faults are injected."""
