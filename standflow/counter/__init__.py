"""Calls to the quota counter, and counter reconciliation. Imported only if the counter is used."""
