"""Connects the decisions of `sycamoreloft_load` to sockets and ports."""
