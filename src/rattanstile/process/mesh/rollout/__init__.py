"""Rollouts of a service's new version: exposure, comparison and decision."""
