"""Pure decisions of the router."""
