"""Limits, validation and encoding of configuration format 1.

Nodes of different releases must all accept or all reject the same version, so
the behaviour of this package must never change. A changed check or encoding
needs a new format number and a package of its own. Character classes are
written out, because `str.isprintable` and similar methods depend on the
Unicode database of the interpreter.
"""
