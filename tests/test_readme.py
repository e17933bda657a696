"""The example in the README runs as printed."""

import re
from pathlib import Path

import pytest


def test_the_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    match = re.search(r"```python\n(.*?)```", text, re.S)
    assert match is not None
    exec(compile(match[1], "README.md", "exec"), {})
    assert "Send(request='r1', backend='s1'" in capsys.readouterr().out
