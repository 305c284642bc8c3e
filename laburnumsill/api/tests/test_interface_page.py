import importlib
import pathlib
import pkgutil

import pytest

import laburnumsill
from laburnumsill.core import errors

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "INTERFACE.md"
PACKAGES = ("core", "members", "requests", "api")


def public_errors():
    """Yields the types of all errors that a caller may get."""
    for package in PACKAGES:
        imported = importlib.import_module(f"laburnumsill.{package}")
        for module in pkgutil.iter_modules(imported.__path__):
            if module.name != "tests":
                importlib.import_module(f"{imported.__name__}.{module.name}")
    prefixes = tuple(f"{laburnumsill.__name__}.{name}." for name in PACKAGES)
    pending = [errors.LaburnumsillError]
    while pending:
        error = pending.pop()
        pending += error.__subclasses__()
        if error.__module__.startswith(prefixes):
            yield error


@pytest.mark.parametrize("error", list(public_errors()), ids=lambda e: e.slug)
def test_interface_page_lists_each_error(error):
    if error.slug == "undecodable-message":
        return  # between VMs only
    lines = PAGE.read_text().splitlines()
    rows = [line for line in lines if f"`{error.slug}`" in line]
    assert rows
    assert any(str(error.status) in row for row in rows)
