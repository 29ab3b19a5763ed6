"""The node of a fleet on which callers and targets share their VMs."""
