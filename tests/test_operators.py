"""The operator's file and the command line."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from standflow import cli
from standflow.config import Config, ConfigError, load
from standflow.config.schema import InvalidValueError, format_time, fraction, size, time
from standflow.config.text import ConfigFileError, Statement, parse
from tests.test_adapter import ROOT
from tests.wire import Program, command, config, read_until

BASE = """
listen 127.0.0.1:0
class look {
    aim 400ms
    deadline 1.5s
}
plan plain {
    rate 2
    burst 9
}
"""
TLS = BASE + "tls {\n    roots r.pem\n    names {id}.{zone}.example.org\n}\n"


def read(folder: Path, text: str, **environment: str) -> Config:
    path = folder / "standflow.conf"
    path.write_text(text)
    return load({"STANDFLOW_CONF": str(path), **environment}, print)


def error_message(folder: Path, text: str) -> str:
    with pytest.raises(ConfigError) as caught:
        read(folder, text)
    return str(caught.value).removeprefix(str(folder) + "/")


def test_the_shipped_file_is_valid_and_gets_the_documented_defaults() -> None:
    configured = load({"STANDFLOW_CONF": str(ROOT / "deploy" / "standflow.conf")}, print)
    assert configured.discovery is None
    assert configured.classes == {"view": True, "change": False}
    assert configured.drain_grace == 0.5
    assert configured.initial_routes is not None
    assert configured.initial_routes.routes[0].zone == "room-b"
    assert (configured.tls, configured.handshakes) == (None, None)


def test_words_quotes_comments_and_continuation_lines() -> None:
    text = 'a \'b # c\' "d \\" e" # f\n\n# g\nh {  # i\n  j k \\\n    {l}.m\n}\n'
    first, second = parse(text, "f")
    assert [word.text for word in first.values] == ["b # c", 'd " e']
    assert second.block is not None
    assert [word.text for word in second.block[0].values] == ["k", "{l}.m"]
    assert (second.block[0].name.line, second.block[0].name.column) == (5, 3)


NAMES = st.from_regex(r"[a-z][a-z0-9.:-]{0,8}", fullmatch=True)
VALUES = st.text(
    st.characters(codec="utf-8", exclude_characters="\n\r\\\"'", exclude_categories=["C"]), max_size=9
)
TREES = st.recursive(
    st.tuples(NAMES, st.lists(VALUES, max_size=3), st.none()),
    lambda inner: st.tuples(NAMES, st.lists(VALUES, max_size=3), st.lists(inner, max_size=3)),
    max_leaves=8,
)


def format_tree(tree: Any, indent: str = "") -> str:
    name, values, inner = tree
    head = indent + " ".join([name, *(f'"{value}"' for value in values)])
    if inner is None:
        return head + "\n"
    return head + " {\n" + "".join(format_tree(one, indent + "  ") for one in inner) + indent + "}\n"


def to_tree(statement: Statement) -> Any:
    inner = None if statement.block is None else [to_tree(one) for one in statement.block]
    return (statement.name.text, [word.text for word in statement.values], inner)


@given(st.lists(TREES, max_size=4))
def test_a_formatted_tree_is_parsed_to_the_same_tree(trees: list[Any]) -> None:
    text = "".join(format_tree(tree) for tree in trees)
    assert [to_tree(one) for one in parse(text, "f")] == trees


@given(st.text(max_size=60))
def test_any_text_is_parsed_or_rejected_with_a_position(text: str) -> None:
    try:
        parse(text, "f")
    except ConfigFileError as error:
        position = str(error).split(":")
        assert position[0] == "f"
        assert int(position[1]) >= 1
        assert int(position[2]) >= 1


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (
            "listn 127.0.0.1:1\n" + BASE[20:],
            "standflow.conf:1:1: listn: unknown directive; did you mean 'listen'?",
        ),
        (BASE.replace("aim 400ms", "aim 400"), "4:9: class look.aim: '400': expected a time with its unit"),
        (BASE.replace("rate 2", "rate two"), "8:10: plan plain.rate: 'two': expected a number"),
        (BASE.replace("    burst 9\n", ""), "7:1: plan plain.burst: is required; expected 'burst <number"),
        (BASE + "sockets 5\n", "11:9: sockets: '5': expected 64 to 1e+07"),
        (BASE + "name a b\n", "11:1: name: has 2 values; expected text"),
        (BASE + "name a\nname b\n", "12:1: name: is given twice, first in "),
        (BASE + "zone {\n}\n", "11:1: zone: has 0 values; expected text"),
        (BASE + "limits 5\n", "11:1: limits: has 1 values; expected no value"),
        (BASE + "limits\n", "11:1: limits: expected a block in braces"),
        (BASE + "limits {\n  probes yes\n}\n", "12:10: limits.probes: 'yes': expected on or off"),
        (BASE + "limits {\n  probes on\n", "13:1: the file ends within a block; expected '}'"),
        (BASE + "name 'a\n", "11:6: name: unterminated quoted value; expected '"),
        (BASE + "}\n", "11:1: }: unexpected '}'; expected "),
        (BASE + "number 4\n", "11:1: number: 4 is too high for 1 ingresses; numbers start at 0"),
        (BASE + BASE[20:], "'look' is defined twice"),
        (TLS.replace("    roots r.pem\n", ""), "11:1: tls.roots: is required; expected 'roots <file>'"),
        (TLS.replace("    names {id}.{zone}.example.org\n", ""), "11:1: tls.names: is required"),
        (TLS.replace("{zone}", "{room}"), "13:11: tls.names: '{id}.{room}.example.org': expected a DNS name"),
        (TLS.replace("{zone}", "*"), "expected a DNS name"),
        (TLS.replace(".org", ".org rom x"), "13:35: tls.names: 'rom': expected id, zone or kind"),
        (TLS.replace(".org", ".org id"), "'id': expected pairs of id, zone or kind and a pattern"),
        (TLS.replace("roots r.pem", "roots r.pem\n  key k.pem"), "tls.key: requires tls.certificate as well"),
        (
            TLS.replace("roots r.pem", "roots r.pem\n  minimum 1.1"),
            "'1.1': expected 1.2 or 1.3; did you mean",
        ),
        (TLS.replace("roots r.pem", "roots r.pem\n  name s-1 a_b"), "'a_b': expected a DNS name"),
        (TLS.replace("roots r.pem", "roots r.pem\n  key-mode rw"), "'rw': expected permission bits"),
    ],
)
def test_an_error_names_file_line_column_and_directive(tmp_path: Path, text: str, message: str) -> None:
    assert message in error_message(tmp_path, text)


def test_a_missing_file_and_one_that_is_not_text_are_named(tmp_path: Path) -> None:
    path = tmp_path / "a.conf"
    with pytest.raises(ConfigError, match="No such file"):
        load({"STANDFLOW_CONF": str(path)}, print)
    path.write_bytes(b"name \xff\n")
    with pytest.raises(ConfigError, match="is not UTF-8"):
        load({"STANDFLOW_CONF": str(path)}, print)


def test_the_blocks_tls_and_handshakes_are_read_with_their_units(tmp_path: Path) -> None:
    more = (
        "    name s-1 tt-01.example.org\n    names box.example.org zone room-* kind big\n    alpn resp2 x\n"
    )
    text = (
        TLS.replace("    names", more + "    names")
        + "handshakes {\n  share 10%\n  cores big 4\n  back-off 1ms 2m\n}\n"
    )
    configured = read(tmp_path, text)
    tls, handshakes = configured.tls, configured.handshakes
    assert tls is not None
    assert handshakes is not None
    assert tls.roots == str(tmp_path / "r.pem")
    assert (tls.key_mode, tls.min_version, tls.alpn, tls.warn_before) == (
        0o600,
        "1.3",
        ("resp2", "x"),
        14 * 86400,
    )
    assert tls.names == {"s-1": "tt-01.example.org"}
    assert [(rule.template, rule.zone, rule.kind) for rule in tls.name_rules] == [
        ("box.example.org", "room-*", "big"),
        ("{id}.{zone}.example.org", "*", "*"),
    ]
    assert (handshakes.cold_share, handshakes.cores, handshakes.back_off) == (
        0.1,
        {"big": 4.0},
        (0.001, 120.0),
    )


def test_directives_in_the_file_override_the_platforms_json_and_defaults_do_not(tmp_path: Path) -> None:
    (tmp_path / "platform.json").write_text(json.dumps(config()))
    configured = read(tmp_path, "platform platform.json\nlimits {\n  drain-grace 250ms\n}\n")
    assert (configured.drain_grace, configured.max_open) == (
        0.25,
        100,
    )  # 20000, the directive's default, does not apply
    assert (
        read(tmp_path, "platform platform.json\nlimits {\n  unread 4m\n}\n").max_unread_bytes
        == 4 * 1024 * 1024
    )
    configured = read(tmp_path, "sockets 100\n", EDGE_CONFIG=str(tmp_path / "platform.json"))
    assert (configured.sockets, configured.name, set(configured.plans)) == (100, "n0", {"plain"})
    assert configured.discovery == ("127.0.0.1", 1)
    assert read(tmp_path, "platform platform.json\ndiscovery off\n").discovery is None
    (tmp_path / "platform.json").write_text(json.dumps(config(settings=[])))
    assert "standflow.conf: settings: is missing" in error_message(tmp_path, "platform platform.json\n")


def test_settings_of_one_process_come_from_the_environment_and_limits_follow_the_memory(
    tmp_path: Path,
) -> None:
    path = tmp_path / "f.conf"
    path.write_text(BASE + "ops 127.0.0.1:1\nmemory 64m\n")
    configured = load({"STANDFLOW_CONF": f"{path}"}, print)
    assert (configured.ops, configured.memory, configured.max_body_bytes) == (
        ("127.0.0.1", 1),
        64 << 20,
        8 << 20,
    )
    assert (configured.passed_fd, configured.handover_folder) == (None, None)
    environment = {
        "STANDFLOW_CONF": f"{path}",
        "EDGE_OPS": "127.0.0.1:2",
        "EDGE_PASSED_SOCKET": "3",
        "TMPDIR": "/t",
    }
    configured = load(environment, print)
    assert (configured.ops, configured.passed_fd, configured.handover_folder) == (("127.0.0.1", 2), 3, "/t")


@given(st.floats(1e-6, 86400))
def test_times_fractions_and_sizes_have_units(value: float) -> None:
    assert abs(time().read(format_time(float(f"{value:.3g}"))) - value) < value / 100
    assert (fraction(0, 1).read("20%"), fraction(0, 1).read("0.2")) == (0.2, 0.2)
    assert (size().read("64k"), size().read("512")) == (65536, 512)
    for kind, text in ((time(), "-1s"), (time(), "1y"), (fraction(0, 1), "120%"), (size(), "1x")):
        with pytest.raises(InvalidValueError):
            kind.read(text)


def invoke(*arguments: str) -> tuple[int, str]:
    result = CliRunner().invoke(cli.main, arguments)
    return result.exit_code, result.output


def test_check_prints_all_errors_and_show_the_origin_of_each_value(tmp_path: Path) -> None:
    path = tmp_path / "a.conf"
    path.write_text(BASE + "sockets 5\nnumbr 4\n")
    status, output = invoke("check", str(path))
    assert status == 2
    assert output.count("standflow: ") == 2
    assert "did you mean 'number'?" in output
    path.write_text(BASE)
    assert invoke("check", str(path)) == (0, f"{path}: can be used\n")
    shown = [line.split() for line in invoke("show", str(path))[1].splitlines()]
    assert ["listen", "127.0.0.1:0", f"{path}:2"] in shown
    assert ["limits.drain-grace", "500ms", "default"] in shown
    assert ["class", "look.aim", "400ms", f"{path}:4"] in shown
    assert ["tls", "not", "set"] in shown
    lines = [json.loads(line) for line in invoke("show", "--json", str(path))[1].splitlines()]
    assert {"directive": "plan plain.rate", "values": "2", "from": f"{path}:8"} in lines


def test_help_and_version() -> None:
    status, output = invoke("--help")
    assert status == 0
    for word in ("run", "check", "show", "docs/operators/configuration.md"):
        assert word in output
    assert invoke("--version")[1].startswith("standflow, version ")


def test_run_serves_with_the_file_alone_and_reloads_it_on_sighup(tmp_path: Path) -> None:
    path = tmp_path / "a.conf"
    path.write_text(BASE)
    process = subprocess.Popen(
        [sys.executable, "-m", "standflow.cli", "run", str(path)],
        cwd=ROOT,
        env={key: value for key, value in os.environ.items() if key != "EDGE_CONFIG"},
        stderr=subprocess.PIPE,
    )
    try:
        running = Program(process)
        client = running.call()
        client.sendall(command("aa01"))
        assert read_until(client, b"\r\n").startswith(b"-BUSY ")  # there is no next hop
        path.write_text(BASE + "limits {\n  atempts 3\n}\n")
        process.send_signal(signal.SIGHUP)
        assert running.logged(
            r"reload: .*a\.conf:12:3: limits\.atempts: unknown directive; did you mean 'attempts'"
        )
        path.write_text(BASE + "sockets 100\n")
        process.send_signal(signal.SIGHUP)
        assert running.logged("reload: sockets: takes a restart")
        running.terminate()
        assert process.wait(20) == 0
    finally:
        process.kill()
        process.communicate()


def test_an_invalid_file_ends_the_start_with_one_line_and_status_2(tmp_path: Path) -> None:
    (tmp_path / "a.conf").write_text(BASE + "sockets 5\nnumbr 4\n")
    ended = subprocess.run(
        [sys.executable, "-m", "standflow"],
        cwd=ROOT,
        env=os.environ | {"STANDFLOW_CONF": str(tmp_path / "a.conf")},
        capture_output=True,
        timeout=20,
    )
    assert ended.returncode == 2
    assert ended.stderr.decode().count("\n") == 1
    assert "11:9: sockets" in ended.stderr.decode()


def test_a_start_by_the_platform_imports_neither_parser_nor_command_line_nor_tls() -> None:
    ended = subprocess.run(
        [sys.executable, "-c", "import sys, standflow.__main__, standflow.program; print(*sys.modules)"],
        cwd=ROOT,
        capture_output=True,
        check=True,
        timeout=20,
    )
    loaded = set(ended.stdout.decode().split())
    assert "standflow.net.nexthop" in loaded
    heavy = (
        "lark",
        "click",
        "ssl",
        "cryptography",
        "standflow.config.operators",
        "standflow.tls",
        "standflow.cli",
    )
    assert not [
        name for name in loaded if name in heavy or name.startswith(tuple(f"{one}." for one in heavy))
    ]
