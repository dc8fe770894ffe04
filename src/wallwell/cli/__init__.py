"""The ``wallwell`` command. Each module declares the arguments of its subcommands and implements them.

The package prints the results and sets the exit status; :mod:`wallwell.cli.main` imports only the module needed.
"""
