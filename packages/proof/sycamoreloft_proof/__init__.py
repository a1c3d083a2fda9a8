"""Fuzzing oracle, history checker, demo, benchmark and capacity slopes."""
