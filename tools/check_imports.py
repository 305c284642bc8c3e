"""Checks that modules are imported, not names.

A name may be imported only from a package whose attribute of that name is a
module, from `typing` and `collections.abc`, or by an ``__init__`` that shows
the public surface of its own package.
"""

import ast
import importlib.util
import pathlib
import sys

ALLOWED_SOURCES = frozenset({"typing", "collections.abc", "__future__"})
ROOTS = ("laburnumsill", "bench", "tools")


def is_module(name: str) -> bool:
    """Returns whether `name` is an importable module."""
    try:
        return importlib.util.find_spec(name) is not None
    except ModuleNotFoundError:
        return False


def offences(path: pathlib.Path) -> list[str]:
    """Returns one line for each imported name in the file at `path`."""
    found = []
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom):
            continue
        if node.level or node.module in ALLOWED_SOURCES:
            continue
        own = ".".join(path.parent.parts)
        if path.name == "__init__.py" and (node.module or "").startswith(own):
            continue
        for alias in node.names:
            if not is_module(f"{node.module}.{alias.name}"):
                found.append(
                    f"{path}:{node.lineno}: {node.module}.{alias.name}"
                    " is a name, not a module"
                )
    return found


def main() -> int:
    """Prints all offences; returns 1 if there are any."""
    sys.path.insert(0, ".")
    found = []
    for root in ROOTS:
        for path in sorted(pathlib.Path(root).rglob("*.py")):
            if "generated" not in path.parts:
                found += offences(path)
    print("\n".join(found) or "imports: modules only")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
