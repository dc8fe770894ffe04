"""Command line: argument parsing and the commands."""
