"""Relay of callers' own HTTP requests to runners, within prepaid token budgets."""
