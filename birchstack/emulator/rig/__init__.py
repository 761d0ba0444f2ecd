"""Many processes of the program, with links between any two of them that can be told to fail."""
