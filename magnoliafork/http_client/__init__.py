"""HTTP/1.1 client for small calls to one server.

A node makes two kinds of calls to one address. Loading a general client takes a
quarter of the start of a process, which callers wait for after a loss of power,
and several megabytes at each node. The messages are parsed by `httptools`, as
are those of the callers.
"""
