"""Checks that names used by other programs, stored files or operators occur in the files they are listed for.

Guards against a rename or a reworded text that changes a wire format, a setting, a stored file or the log.
The list is data/external_names.txt.
"""

import ast
import re
from collections.abc import Iterator
from functools import cache
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parent.parent
NAMES_FILE = Path(__file__).parent / "data" / "external_names.txt"


class ExternalName(NamedTuple):
    """One entry of the list: the path of a file and a name that the file must contain."""

    path: str
    name: str


def read_external_names(text: str) -> list[ExternalName]:
    names = []
    path = ""
    for line in text.splitlines():
        if not line or line.startswith("# ") or line.startswith("## "):
            continue
        if line.startswith("[") and line.endswith("]"):
            path = line[1:-1]
            continue
        names.append(ExternalName(path, line))
    return names


def docstring_ids(tree: ast.Module) -> set[int]:
    """Returns the ids of the constant nodes that are statements of their own, such as docstrings."""
    return {
        id(node.value)
        for node in ast.walk(tree)
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
    }


def texts_and_fields(source: str) -> Iterator[str]:
    """Yields what Python code can write out: constants, names of fields, members, classes, parameters."""
    tree = ast.parse(source)
    docstrings = docstring_ids(tree)
    for node in ast.walk(tree):
        match node:
            case ast.Constant(value=str() as text) if id(node) not in docstrings:
                yield text
            case ast.Constant(value=bytes() as data) if id(node) not in docstrings:
                yield data.decode("latin-1")
            case ast.Constant(value=int() as number):
                yield str(number)
            case ast.keyword(arg=str() as name) | ast.arg(arg=name):
                yield name
            case ast.ClassDef(name=name) | ast.FunctionDef(name=name):
                yield name
            case ast.AnnAssign(target=ast.Name(id=name)) | ast.Assign(targets=[ast.Name(id=name)]):
                yield name


def searchable_text(path: str, source: str) -> str:
    """Returns the text that is searched: Python files without comments and docstrings, others whole."""
    return "\n".join(texts_and_fields(source)) if path.endswith(".py") else source


def contains(text: str, name: str) -> bool:
    """Returns whether the text contains the name as a whole word."""
    return re.search(rf"(?<!\w){re.escape(name)}(?!\w)", text) is not None


@cache
def file_text(path: str) -> str:
    return searchable_text(path, (ROOT / path).read_text(encoding="utf-8"))


EXTERNAL_NAMES = read_external_names(NAMES_FILE.read_text(encoding="utf-8"))
PATHS = sorted({entry.path for entry in EXTERNAL_NAMES})


@pytest.mark.parametrize("path", PATHS)
def test_each_external_name_stands_in_its_file(path):
    text = file_text(path)
    missing = [
        entry.name for entry in EXTERNAL_NAMES if entry.path == path and not contains(text, entry.name)
    ]
    assert not missing


def test_list_has_names_of_each_kind():
    assert len(EXTERNAL_NAMES) > 700
    assert len(PATHS) > 40
    assert len(set(EXTERNAL_NAMES)) == len(EXTERNAL_NAMES)


@pytest.mark.parametrize(
    ("path", "before", "after"),
    [
        ("hillchute/benchlink/host.py", '"TIMEOUT_FIRED"', '"TIMER_FIRED"'),
        ("hillchute/fronts/mysql/packets.py", "1040", "1041"),
        ("hillchute/log.py", '"log_suppressed"', '"log_limited"'),
        ("hillchute/errors.py", "ClockBehindError", "ClockSetBackError"),
        ("hillchute/settings.py", '"limits.most_tries"', '"limits.most_attempts"'),
        ("hillchute/router/config.py", "sockets", "descriptors"),
        ("hillchute/operator/schema.cue", "marks_file", "signatures_file"),
    ],
)
def test_renamed_name_is_missed(path, before, after):
    source = (ROOT / path).read_text(encoding="utf-8")
    renamed = re.sub(rf"(?<![\w]){re.escape(before)}(?![\w])", after, source)
    text = searchable_text(path, renamed)
    names = [entry.name for entry in EXTERNAL_NAMES if entry.path == path]
    assert before.strip('"') in [name for name in names if not contains(text, name)]


def test_name_in_a_comment_or_docstring_does_not_count():
    source = '"""Handles SYNC."""\n\n# SYNC begins a batch\nmessage = "BATCH"\n'
    assert not contains(searchable_text("a.py", source), "SYNC")
    assert contains(searchable_text("a.py", source), "BATCH")
