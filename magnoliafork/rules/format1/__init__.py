"""Limits, checks and encoding of format 1.

Nodes of two releases must accept or reject a version alike, so the behaviour
of this package never changes. A changed rule needs a new format number and a
package of its own. Character classes are spelt out instead of taken from
`str.isprintable` and the like, which depend on the Unicode database of the
interpreter.
"""
