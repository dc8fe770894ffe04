"""The ``wallwell`` command: one module a command, each declares its arguments and runs them.

Owns what is printed and the exit status. :mod:`wallwell.cli.main` imports only the module of the command given.
"""
