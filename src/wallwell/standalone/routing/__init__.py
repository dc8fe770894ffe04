"""Routing decisions of the standalone router: cached-block directory, load estimate, admission, engine choice."""
