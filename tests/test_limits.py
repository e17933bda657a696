"""The decision module stays within its size limits."""

from pathlib import Path

GATEWAY_MODULE = Path(__file__).parent.parent / "hoistfold" / "gateway.py"


def test_gateway_module_is_within_its_size_limits() -> None:
    lines = GATEWAY_MODULE.read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 500
    assert max(len(line) for line in lines) <= 110


def test_gateway_module_names_its_interface_first() -> None:
    assert "interface.py" in GATEWAY_MODULE.read_text().splitlines()[0]
