"""Functions behind the command-line tool."""
