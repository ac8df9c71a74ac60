"""Stand-ins for the outside systems; no product module imports these."""
