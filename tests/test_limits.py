"""The decision module stays within its size limits."""

from pathlib import Path

BRAIN = Path(__file__).parent.parent / "hoistfold" / "gateway.py"


def test_brain_is_within_its_limits() -> None:
    lines = BRAIN.read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 500
    assert max(len(line) for line in lines) <= 110


def test_brain_names_its_interface_first() -> None:
    assert "interface.py" in BRAIN.read_text().splitlines()[0]
