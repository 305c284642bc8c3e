import hypothesis
import pytest
from hypothesis import strategies as st

from laburnumsill.config import canonical
from laburnumsill.config import changed
from laburnumsill.config import difference
from laburnumsill.config import models

SHAPES = st.builds(models.Shape, racks=st.integers(0, 2))
CLASSES = {"quick": models.RequestClass(urgency=0)}
SERVICES = {"offers": models.Service(classes=["quick"])}


@st.composite
def configurations(draw):
    domains = draw(st.sampled_from([["d0", "d1"], ["d0", "d1", "d2"]]))
    accounts = st.builds(
        models.Account,
        weight=st.sampled_from([1.0, 2.5]),
        guarantee=st.dictionaries(st.sampled_from(domains), SHAPES),
    )
    return models.Configuration(
        site=draw(st.sampled_from(["one", "two"])),
        domains=domains,
        classes=CLASSES,
        services=draw(st.sampled_from([{}, SERVICES])),
        accounts=draw(
            st.dictionaries(st.sampled_from("abcde"), accounts, max_size=5)
        ),
    )


def apply_differences(*texts):
    """Returns the last document and the changes from each text to the next."""
    document, changes = difference.Document.parse(texts[0]), []
    for text in texts[1:]:
        changes.append(difference.difference(document.text, text))
        document = document.after(changes[-1])
    return document, changes


@hypothesis.given(st.lists(configurations(), min_size=1, max_size=4))
@hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
def test_incremental_decoding_equals_full_decoding(versions):
    texts = [canonical.encode(version) for version in versions]
    document, changes = apply_differences(*texts)
    configuration = changed.decode(
        canonical.decode(texts[0]), document, changes
    )
    assert configuration == canonical.decode(texts[-1])
    assert canonical.encode(configuration) == texts[-1]
    assert list(configuration.accounts) == sorted(configuration.accounts)


BASE = models.Configuration(
    site="one",
    domains=["d0"],
    classes=CLASSES,
    services=SERVICES,
    accounts={"a": models.Account(guarantee={"d0": models.Shape()})},
)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("accounts", "a", "weight"), b"-1.0"),
        (("accounts", "a", "weight"), b'"1"'),
        (("accounts", "a", "more"), b"1"),
        (("accounts", "a", "guarantee", "d9"), b"{}"),
        (("accounts", "B"), b"{}"),
        (("accounts", "b"), b"1"),
        (("accounts",), b"1"),
        (("domains",), b'["d1"]'),
        (("classes",), b"{}"),
        (("more",), b"1"),
        ((), b"[]"),
    ],
)
def test_invalid_changes_are_refused(path, value):
    change = difference.Difference((difference.Setting(path, value),))
    base = difference.Document.parse(canonical.encode(BASE))
    new = base.after(change)
    with pytest.raises(canonical.UnreadableConfigurationError):
        canonical.decode(new.text)
    with pytest.raises(canonical.UnreadableConfigurationError):
        changed.decode(BASE, new, [change])
