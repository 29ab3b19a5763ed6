"""The declaration in force, and how it reaches each node."""
