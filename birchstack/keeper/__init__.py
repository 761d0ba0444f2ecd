"""The keeper: a process that collects the trails of a fleet, follows its list, and is asked about both."""
