"""The node process of a fleet whose VMs run both callers and targets."""
