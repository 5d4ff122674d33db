"""The operator file and the command line."""

import subprocess
import sys

import orjson
import pytest
from cpu_limit import cpu_limit
from hypothesis import given, settings
from hypothesis import strategies as st

from hillchute.cli.commands import main
from hillchute.operator import reading
from hillchute.operator.records import OperatorFileError, format_constraint, parse

GOOD = """
// Dashboards.
#Bi: {name: "bi", token: "t"}
flight: {
    listen: "127.0.0.1:32010" // loopback
    users: [#Bi, {name: "etl", password: "p"}]
    tickets: 5
}
"""


def test_file_with_definitions_comments_and_defaults_is_read():
    settings = reading.parse_settings(GOOD)
    assert settings["flight"]["users"] == [{"name": "bi", "token": "t"}, {"name": "etl", "password": "p"}]
    assert settings["flight"]["tickets"] == 5 and settings["flight"]["ticket_ms"] == 60_000
    assert settings["engines"]["protocol"] == "line" and "tls" not in settings["flight"]
    assert reading.defaults() == {"engines": reading.parse_settings("")["engines"], "log": {"alike": 20}}


@pytest.mark.parametrize(
    "text, expected",
    [
        ('engines: {protocol: "http"}', 'f.cue:1: engines.protocol: expected "line" | "flight", got "http"'),
        ("engines: {\n protocl: 1}", "f.cue:2: engines.protocl: no such field; did you mean protocol?"),
        ("flight: {}", "f.cue:1: flight.listen: missing; expected string"),
        ('flight: {listen: "a:1", tickets: 0}', "flight.tickets: expected int & >=1 & <=1000000"),
        ('flight: {listen: "a:1", tickets: true}', "flight.tickets: expected int"),
        ('flight: {listen: "a:1", users: {}}', "flight.users: expected [...#User], got a record"),
        ('flight: {listen: "a:1", users: [{name: "x y"}]}', "flight.users[0].name: expected string"),
        ('flight: {listen: "a:1", users: [{name: "x"}]}', "flight.users[0]: expected one of password"),
        ("log: {alike: #No}", "f.cue:1: log.alike: #No is not defined here, or refers to itself"),
        ("#A: #A\nlog: {alike: #A}", "log.alike: #A is not defined here, or refers to itself"),
        ("log: {alike: int}", "log.alike: expected a value, got int"),
        ("log: {alike: 1, alike: 2}", "f.cue:1: alike: duplicate field"),
        ("log: {\n alike: \n}", "f.cue:3: syntax error at '}'"),
    ],
)
def test_error_names_file_line_path_and_expected_value(text, expected):
    with pytest.raises(OperatorFileError) as error:
        reading.parse_settings(text, "f.cue")
    assert expected in str(error.value)


def test_all_errors_are_reported_at_once():
    with pytest.raises(OperatorFileError) as error:
        reading.parse_settings('engines: {protocol: 1}\nlog: {alike: "x"}\nmore: 1')
    assert len(str(error.value).split("\n")) == 3


values = st.recursive(
    st.booleans()
    | st.integers(-(10**9), 10**9)
    | st.text(st.characters(codec="ascii", exclude_characters="\\")),
    lambda inner: st.lists(inner, max_size=3),
    max_leaves=6,
)


def operator_file_text(value):
    if isinstance(value, list):
        return f"[{', '.join(map(operator_file_text, value))}]"
    return orjson.dumps(value).decode()


@settings(deadline=None)
@given(values)
def test_value_is_read_as_it_was_written(value):
    with cpu_limit():
        (field,) = parse(f"x: {operator_file_text(value)}", "f").record.fields
        assert (
            parse(f"x: {format_constraint(field.constraint)}", "f").record.fields[0].constraint
            == field.constraint
        )


@settings(deadline=None)
@given(st.text())
def test_any_text_is_read_or_rejected_with_its_line(text):
    with cpu_limit():
        try:
            reading.parse_settings(text, "f")
        except OperatorFileError as error:
            assert str(error).startswith("f:")


def test_check_prints_settings_and_exits_with_2_on_errors(tmp_path, capsysbinary):
    path = tmp_path / "o.cue"
    path.write_text(GOOD)
    assert main(["check", str(path), "--json"]) == 0
    assert orjson.loads(capsysbinary.readouterr().out)["settings"]["flight"]["tickets"] == 5
    assert main(["check", str(path), "--fields"]) == 0
    assert b"flight.tickets: 5" in capsysbinary.readouterr().out
    path.write_text("log: 1")
    assert main(["check", str(path)]) == 2
    assert b"log: expected a record" in capsysbinary.readouterr().err
    assert main(["check", str(tmp_path / "no.cue")]) == 2
    assert main(["chekc"]) == 2


def test_router_without_operator_file_imports_no_extras():
    extras = {"lark", "grpc", "pyarrow", "google", "cyclopts"}
    code = "import sys, hillchute.router.__main__; print(*{m.split('.')[0] for m in sys.modules})"
    loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert "anyio" in loaded.split() and not extras & set(loaded.split())
