"""Checks that the files and identifiers named in backquotes on the pages under docs/ exist.

Guards against pages that go out of date after a rename. Pages on earlier states are left out: the roadmap,
the record of figures and the incidents. Also checks the imports between packages against the diagram of
layers in docs/architecture.md.
"""

import ast
import re
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
DOCS = ROOT / "docs"

PAGES = sorted(page for page in DOCS.glob("*.md") if page.name not in {"standing.md", "ROADMAP.md"})
"""The pages that describe the present state of the program."""

CODE_FOLDERS = ("hillchute", "tests", "deploy", "examples")
TEXT_SUFFIXES = {".toml", ".cue", ".lark", ".proto", ".json", ".sh", ".txt"}

LISTS_OF_NAMES = {"external_names.txt"}
"""Files that list names of the code for another check; a name that occurs only in them counts as missing."""

OUTSIDE_NAMES = {"epoll_ctl"}
"""Names of other programs that pages may use although the code does not contain them."""

MAX_WORDS_OF_A_NAME = 4
"""Text values with more words are taken as sentences; their words are no evidence that a name exists."""

FENCED_BLOCK = re.compile(r"^```.*?^```", re.MULTILINE | re.DOTALL)
BACKQUOTED = re.compile(r"`([^`\n]+)`")
PATH = re.compile(r"[\w.\-]+(/[\w.\-]+)*/?")
PATH_SUFFIXES = (".py", ".md", ".toml", ".cue", ".lark", ".proto", ".txt")
IDENTIFIER = re.compile(r"[A-Za-z_]\w*(\.[A-Za-z_]\w*)*")
WORD = re.compile(r"\w+")


def code_words(source: str) -> set[str]:
    """Return the words of a module's identifiers and text values, without comments and docstrings."""
    tree = ast.parse(source)
    words: set[str] = set()
    documented = ast.Module | ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef
    documentation = {
        id(statement.value)
        for node in ast.walk(tree)
        if isinstance(node, documented)
        for statement in node.body
        if isinstance(statement, ast.Expr)
    }
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in documentation:
            value = node.value.decode("latin-1") if isinstance(node.value, bytes) else str(node.value)
            if len(value.split()) <= MAX_WORDS_OF_A_NAME:
                words.update(WORD.findall(value))
        for field in ("id", "attr", "arg", "name", "module"):
            name = getattr(node, field, None)
            if isinstance(name, str):
                words.update(WORD.findall(name))
    return words


@cache
def known_words() -> dict[Path, set[str]]:
    """Return the words of each file of the code, except this file."""
    words: dict[Path, set[str]] = {}
    for folder in CODE_FOLDERS:
        for path in sorted((ROOT / folder).rglob("*")):
            if path.suffix == ".py" and path != Path(__file__).resolve():
                words[path] = code_words(path.read_text())
            elif path.suffix in TEXT_SUFFIXES and path.name not in LISTS_OF_NAMES:
                words[path] = set(WORD.findall(path.read_text()))
    words[ROOT / "README.md"] = set(WORD.findall((ROOT / "README.md").read_text()))
    words[ROOT / "pyproject.toml"] = set(WORD.findall((ROOT / "pyproject.toml").read_text()))
    return words


@cache
def bare_file_names() -> set[str]:
    """Return the names of all files in the code's folders, docs/ and journal/, and of those at the root."""
    folders = [ROOT / name for name in (*CODE_FOLDERS, "docs", "journal")]
    return {path.name for folder in folders for path in folder.rglob("*")} | {
        path.name for path in ROOT.iterdir()
    }


def backquoted(text: str) -> list[str]:
    """Return the texts in backquotes outside of fenced blocks."""
    return BACKQUOTED.findall(FENCED_BLOCK.sub("", text))


def is_path(name: str) -> bool:
    """Return whether the text has the form of a path to a file or folder of the repository."""
    if not PATH.fullmatch(name):
        return False
    if name in PATH_SUFFIXES or name.startswith("/"):
        return False
    return "/" in name or name.endswith(PATH_SUFFIXES)


def path_exists(name: str, package: Path) -> bool:
    """Return whether the path exists in the root, hillchute/ or the page's package.

    A file name without a folder may be in any folder.
    """
    if "/" not in name:
        return name in bare_file_names()
    return any((folder / name).exists() for folder in (ROOT, ROOT / "hillchute", package))


def name_exists(name: str) -> bool:
    """Return whether a single file of the code contains all parts of a dotted name as whole words."""
    parts = set(name.split("."))
    return any(parts <= words for words in known_words().values())


def missing_names(text: str, package: Path = ROOT) -> list[str]:
    """Return the paths and identifiers in backquotes that the repository does not have."""
    missing = []
    for quoted in backquoted(text):
        name = quoted.removesuffix("()")
        if is_path(name):
            exists = path_exists(name, package)
        elif IDENTIFIER.fullmatch(name):
            exists = name in OUTSIDE_NAMES or name_exists(name)
        else:
            continue
        if not exists:
            missing.append(quoted)
    return missing


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_page_names_only_what_exists(page: Path) -> None:
    package = ROOT / "hillchute" / page.stem
    assert missing_names(page.read_text(), package) == []


@pytest.mark.parametrize(
    "quoted",
    [
        "no_such_function",
        "NoSuchClass",
        "Scheduler.no_such_method()",
        "hillchute/no_such.py",
        "nosuch.md",
        "gone/",
    ],
)
def test_missing_name_is_reported(quoted: str) -> None:
    assert missing_names(f"see `{quoted}` here") == [quoted]


@pytest.mark.parametrize(
    "quoted", ["decision/scheduler.py", "docs/design.md", "Scheduler", "HillchuteError.remedy", "GET /status"]
)
def test_existing_name_is_not_reported(quoted: str) -> None:
    assert missing_names(f"see `{quoted}` here") == []


# ---- the diagram of packages ----------------------------------------------------------------------

LAYERS = re.compile(r"^```text\nlayers, top to bottom\n(.*?)^```", re.MULTILINE | re.DOTALL)
"""The fenced block of docs/architecture.md with one row of packages for each layer, the highest first."""


def layers(page: str) -> dict[str, int]:
    """Return the layer of each package or module in the diagram; 0 is the highest."""
    block = LAYERS.search(page)
    assert block is not None, "docs/architecture.md has no diagram of layers"
    rows = [WORD.findall(line.split("..")[0]) for line in block[1].splitlines()]
    return {name: layer for layer, row in enumerate(rows) for name in row}


def imported_parts(source: str) -> set[str]:
    """Return the packages and modules directly under hillchute/ that a module imports, also in functions."""
    parts: set[str] = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.ImportFrom) and node.module:
            names = [f"{node.module}.{name.name}" for name in node.names]
        elif isinstance(node, ast.Import):
            names = [name.name for name in node.names]
        else:
            continue
        parts.update(name.split(".")[1] for name in names if name.startswith("hillchute."))
    return parts - {"__version__"}


def upward_imports(page: str) -> list[str]:
    """Return the imports from a package to another one in the same or a higher layer."""
    layer = layers(page)
    found: set[str] = set()
    package = ROOT / "hillchute"
    for path in package.rglob("*.py"):
        importer = path.relative_to(package).parts[0].removesuffix(".py")
        if importer != "__init__":
            parts = imported_parts(path.read_text()) - {importer}
            found.update(f"{importer} -> {part}" for part in parts if layer[part] <= layer[importer])
    return sorted(found)


ARCHITECTURE = (DOCS / "architecture.md").read_text()


def test_diagram_names_all_packages() -> None:
    package = ROOT / "hillchute"
    parts = {path.relative_to(package).parts[0].removesuffix(".py") for path in package.rglob("*.py")}
    assert set(layers(ARCHITECTURE)) == parts - {"__init__"}


def test_packages_import_downwards_only() -> None:
    assert upward_imports(ARCHITECTURE) == []


def test_upward_import_is_reported() -> None:
    page = ARCHITECTURE.replace("\n  cli\n", "\n  X\n").replace("  settings  net", "  cli  settings  net")
    assert upward_imports(page) == ["cli -> lab", "cli -> operator", "cli -> router"]
