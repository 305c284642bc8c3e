"""Checks that only the adapter knows the platform's names.

The names are read from the adapter itself: the fields of its messages and
the paths, headers and words in its strings. Ordinary words that the product
uses by itself are allowed elsewhere.
"""

import ast
import pathlib
import re
import sys

ADAPTER = pathlib.Path("laburnumsill/platform")
PRODUCT = pathlib.Path("laburnumsill")

_WORDS = """
accounts address alone api_keys body broken capacity clock_ms count cpu
data_rack depends_on detail done draining ended enforces_capacity failed
fence gang guaranteed headers hold host interval_ms kind labels late limits
long_running max_attempts max_body_bytes max_header_bytes memory name noted
old path_prefix pending percent priority public reason repeat_count
required_label room routes run running same_rack saved saves_progress seq
service services slots spec speculative standby state status steps stop
stopped stretch task tasks timeout_ms title type version zone
"""
ORDINARY = frozenset(_WORDS.split())
"""Words of the field that the product uses in a meaning of its own."""

_WIRE_PATH = re.compile(r"^/-/[a-z]")


def _wire_names() -> set[str]:
    """Returns the fields of the adapter's messages and its wire strings."""
    names: set[str] = set()
    tree = ast.parse((ADAPTER / "wire.py").read_text())
    for node in ast.walk(tree):
        if isinstance(node, ast.AnnAssign) and isinstance(
            node.target, ast.Name
        ):
            names.add(node.target.id)
    for path in ADAPTER.glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            names |= _strings_of(node)
    return names - ORDINARY


def _strings_of(node: ast.AST) -> set[str]:
    """Returns the wire's strings in a node: paths, headers, keys of bodies."""
    if isinstance(node, ast.Dict):
        return {
            key.value
            for key in node.keys
            if isinstance(key, ast.Constant)
            and isinstance(key.value, str)
            and "_" in key.value
        }
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return {node.value} if _is_wire_string(node.value) else set()
    return set()


def _is_wire_string(text: str) -> bool:
    """Whether a string of the adapter is a path or a header of the wire."""
    return bool(_WIRE_PATH.match(text)) or text.startswith("X-")


def _offences(path: pathlib.Path, names: set[str]) -> list[str]:
    found = []
    for node in ast.walk(ast.parse(path.read_text())):
        used = None
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            used = node.value
        elif isinstance(node, ast.Attribute):
            used = node.attr
        elif isinstance(node, ast.Name):
            used = node.id
        elif isinstance(node, ast.arg | ast.keyword):
            used = node.arg
        if used in names:
            line = getattr(node, "lineno", 0)
            found.append(f"{path}:{line}: {used!r} is a name of the platform")
    return found


def main() -> int:
    """Prints all offences; returns 1 if there are any."""
    names = _wire_names()
    found = []
    for path in sorted(PRODUCT.rglob("*.py")):
        if ADAPTER not in path.parents and "generated" not in path.parts:
            found += _offences(path, names)
    print("\n".join(found) or f"wire names: {len(names)}, none outside")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
