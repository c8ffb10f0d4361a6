"""Peers must rebuild exactly the announced manifest from a delta."""

import dataclasses

import hypothesis
from hypothesis import strategies as st

from magnoliafork.model.manifest import Manifest, PartRef, sha256_hex
from magnoliafork.model.result import Err, Ok
from magnoliafork.snapshot.delta import apply_delta, make_delta
from magnoliafork.snapshot.errors import ConfigErrorKind

_PARTS = st.dictionaries(
    st.sampled_from(["operations", "service/a", "service/b", "routes/a"]),
    st.integers(1, 3),
)


def _manifest(number: int, contents: dict[str, int]) -> Manifest:
    merged = {"operations": 1, **contents}
    refs = [
        PartRef(name, sha256_hex(str(value).encode()), value)
        for name, value in sorted(merged.items())
    ]
    return Manifest(1, number, tuple(refs))


@hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
@hypothesis.given(old=_PARTS, new=_PARTS, wrong=_PARTS)
def test_delta_gives_the_target_or_an_error(
    old: dict[str, int], new: dict[str, int], wrong: dict[str, int]
) -> None:
    """Guards against a manifest that mixes two versions."""
    base, target = _manifest(1, old), _manifest(2, new)
    delta = make_delta(base, target)
    assert not set(delta.changed) & set(base.parts)
    assert apply_delta(base, delta) == Ok(target)
    assert apply_delta(None, make_delta(None, target)) == Ok(target)
    result = apply_delta(_manifest(1, wrong), delta)
    if isinstance(result, Err):
        assert result.errors[0].kind is ConfigErrorKind.DIGEST_MISMATCH
    else:
        assert result == Ok(target)


def test_hostile_deltas_give_typed_errors() -> None:
    """Guards against a peer that crashes or misleads a node."""
    base = _manifest(1, {})
    delta = make_delta(base, _manifest(2, {"service/a": 1}))
    other_format = dataclasses.replace(delta, format=9)
    result = apply_delta(base, other_format)
    assert isinstance(result, Err)
    assert result.errors[0].kind is ConfigErrorKind.UNKNOWN_FORMAT
    surrogate = dataclasses.replace(
        delta, changed=(PartRef("service/\ud800", "", 1),)
    )
    assert isinstance(apply_delta(base, surrogate), Err)
    invalid = Manifest(1, 3, ())
    result = apply_delta(None, make_delta(None, invalid))
    assert isinstance(result, Err)
    assert result.errors[0].kind is ConfigErrorKind.INVALID
