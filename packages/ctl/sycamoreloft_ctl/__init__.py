"""The operators command."""
