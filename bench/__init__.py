"""Deterministic benches and live trials."""
