"""Forwards callers' HTTP requests to runners, within prepaid token budgets."""
