"""The configuration in force, and how it reaches each node."""
