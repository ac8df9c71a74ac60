"""Example files: two firms' configurations and the settings of a router."""
