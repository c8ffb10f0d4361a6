"""HTTP/1.1 server that bounds what clients make it hold.

`request_parser` turns bytes into requests, `memory_budget` decides who waits or
is refused when clients send more than there is room for, `connection` serves
one connection, and `server` listens. Nothing here knows what requests are for.
"""
