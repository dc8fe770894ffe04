"""The standalone router's decisions: directory of cached blocks, load, admission, selection policies."""
