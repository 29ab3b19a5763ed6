"""Configuration versions: schema, checks, plans, log records and lookups."""
