import importlib
import pathlib
import pkgutil

import pytest

import laburnumsill
from laburnumsill.core import errors

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "INTERFACE.md"
PACKAGES = ("core", "members", "requests", "api")


def callers_errors():
    """Returns the types of all errors that a caller may be told of."""
    for package in PACKAGES:
        found = importlib.import_module(f"laburnumsill.{package}")
        for module in pkgutil.iter_modules(found.__path__):
            if module.name != "tests":
                importlib.import_module(f"{found.__name__}.{module.name}")
    prefixes = tuple(f"{laburnumsill.__name__}.{name}." for name in PACKAGES)
    waiting = [errors.LaburnumsillError]
    while waiting:
        error = waiting.pop()
        waiting += error.__subclasses__()
        if error.__module__.startswith(prefixes):
            yield error


@pytest.mark.parametrize("error", list(callers_errors()), ids=lambda e: e.slug)
def test_the_page_names_each_error(error):
    if error.slug == "undecodable-message":
        return  # between VMs only
    lines = PAGE.read_text().splitlines()
    rows = [line for line in lines if f"`{error.slug}`" in line]
    assert rows
    assert any(str(error.status) in row for row in rows)
