"""Wire format, tested with a recorded transcript."""

import io
import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from hoistfold import interface as i
from hoistfold.adapter import Adapter

ROOT = Path(__file__).parent.parent

INFO = {
    "Az": "z1",
    "Balancers": 2,
    "Unheard": {"of": 1},
    "Caps": {
        "Cancel": True,
        "DialTimeoutUs": 250000,
        "MaxRetryAfterUs": 2000000,
        "PeerMessages": True,
        "Probes": True,
        "RetryAfter": True,
        "SecondCopies": True,
        "TryLimit": 3,
    },
    "Classes": [
        {
            "AimUs": 1000000,
            "DeadlineUs": 3000000,
            "DedupScope": "all",
            "Effect": "read_like",
            "LateWorth": 0.0,
            "Name": "look",
            "Stream": False,
            "Value": 1.0,
            "WindowUs": 5000000,
        }
    ],
    "Contracts": [
        {
            "CeilingBurst": 0,
            "CeilingRate": 0,
            "CeilingSlack": 0,
            "ExcessCost": 1,
            "ExtraWorth": 0,
            "Name": "plain",
            "Parallel": 0,
            "PeakUnits": 8,
            "Rate": 2,
            "ValueFactor": 1,
        }
    ],
    "Discovery": "pushed",
    "FamilyInfo": {"MostUnits": 2, "PeerIntake": 60, "Settles": False},
    "Feedback": {"Fields": ["load_share"], "Via": "inline"},
    "Me": 0,
    "Prices": {"CrossZone": 0, "LateFail": 0, "Peer": 0, "Probe": 0, "Waste": 0},
    "Rules": {
        "AskWithinUs": 0,
        "ColdFrom": 0.3,
        "ColdUs": 10000000,
        "DrainGraceUs": 250000,
        "FallMultiple": 2.5,
        "OverloadForUs": 2000000,
    },
    "TickUs": 2000,
    "Weights": "nominal",
}

START = f"""BEGIN_BATCH NowUs=1000000 serial=0
NEW_INSTANCE Door=1 Seed=7 Info={json.dumps(INFO)}
LIST List=3 Entries=1
M Backend=old Area=z1 Type=t Block=0 Availability=active PowerHint=1
LIST List=3 Entries=1
M Backend=srv Area=z1 Type=t Block=0 Availability=active PowerHint=1
SYNC Door=1 List=3 Kind=SAVED Serial=4
END
"""

CALL = (
    "CALL Door=1 Profile=look Ticket=t{0} Plan=plain Customer=c{0} LeftUs=900000 "
    "PriceUnits=1 EntryPoints=1 SetStart=0 Bits=1 Novel=3\n"
)


def run_adapter(text: str) -> tuple[list[list[str]], str]:
    sink, errors = io.StringIO(), io.StringIO()
    Adapter(io.StringIO(text), sink, errors).run()
    replies = [part.splitlines() for part in sink.getvalue().split("ACK ")]
    return replies, errors.getvalue()


def batch(serial: int, *lines: str) -> str:
    body = "".join(line if line.endswith("\n") else line + "\n" for line in lines)
    return f"BEGIN_BATCH NowUs={1000000 + serial * 2000} serial={serial}\n{body}END\n"


def test_a_request_is_sent_and_its_outcome_handled() -> None:
    reply = "REPLY Door=1 Ticket=t1 Backend=srv Go=0 LatencyUs=1800 How=0 DoneFlag=1 Usage=0.62"
    replies, errors = run_adapter(START + batch(1, CALL.format(1)) + batch(2, reply) + batch(3))
    assert any(line.startswith("TRANSMIT Door=1 Ticket=t1 Backend=srv") for line in replies[1])
    assert replies[2:] == [["serial=1"], ["serial=2"], ["serial=3"]] or replies[2][0] == "serial=1"
    assert errors == ""


def test_an_instance_restarted_within_one_batch() -> None:
    again = f"NEW_INSTANCE Door=1 Seed=8 Info={json.dumps(INFO)}"
    replies, errors = run_adapter(START + batch(1, CALL.format(1), "EXIT Door=1", again, CALL.format(2)))
    lines = [line for reply in replies for line in reply]
    assert any("Ticket=t1 " in line and line.startswith("TRANSMIT") for line in lines)
    assert any(line.startswith("SHED Door=1 Ticket=t2") for line in lines)  # no list yet
    assert errors == ""


@pytest.mark.parametrize(
    "line",
    [
        "CALL Door=1 Ticket=x",
        "NONSENSE Door=1",
        "REMINDER Door=1 Handle=seven",
        CALL.format(1).replace("look", "unknown"),
        "FROM_PEER Door=1 Sender=0 Content=###",
        "REPLY Door=1 Ticket=t1 Backend=srv Go=0 LatencyUs=1 How=99 DoneFlag=1",
        "REPLY Door=1 Ticket=t1 Backend=srv Go=0 LatencyUs=1 How=0 DoneFlag=maybe",
        "SYNC Door=1 List=9 Kind=FULL Serial=1",
        "REMINDER Door=4 Handle=1",
    ],
)
def test_malformed_input_is_reported(line: str) -> None:
    replies, errors = run_adapter(START + batch(1, line))
    assert any(text.startswith("CRASH Door=") for reply in replies for text in reply)
    assert "malformed input" in errors


def test_the_same_actions_under_any_hash_seed() -> None:
    text = START + "".join(batch(n, *(CALL.format(f"{n}-{m}") for m in range(8))) for n in range(1, 20))
    outputs = set()
    for seed in ("0", "1", "2"):
        run = subprocess.run(
            [sys.executable, "-m", "hoistfold.adapter"],
            input=text,
            capture_output=True,
            text=True,
            check=True,
            cwd=ROOT,
            env=os.environ | {"PYTHONHASHSEED": seed},
        )
        outputs.add(run.stdout)
    assert len(outputs) == 1
    assert "TRANSMIT" in outputs.pop()


def test_a_fault_of_the_module_is_reported_and_ends_only_its_instance() -> None:
    sink, errors = io.StringIO(), io.StringIO()
    adapter = Adapter(io.StringIO(""), sink, errors)
    out: list[str] = []
    for instance in (0, 1):
        start = f"NEW_INSTANCE Door={instance} Seed=5 Info={json.dumps(INFO)}"
        adapter.event(1.0, start, iter(()), out)
    adapter.gateways[1].handlers.clear()
    adapter.gateways[1].handlers[i.RequestArrived] = lambda event: 1 // 0
    adapter.event(2.0, CALL.format(0).replace("\n", ""), iter(()), out)
    assert "fault of the module: instance 1" in errors.getvalue()
    assert "ZeroDivisionError" in errors.getvalue()
    assert out[-1].startswith("CRASH Door=1")
    assert list(adapter.gateways) == [0]


def test_an_outcome_of_an_unknown_ticket_is_malformed() -> None:
    sink, errors = io.StringIO(), io.StringIO()
    adapter = Adapter(io.StringIO(""), sink, errors)
    out: list[str] = []
    adapter.event(1.0, f"NEW_INSTANCE Door=0 Seed=5 Info={json.dumps(INFO)}", iter(()), out)
    reply = "REPLY Door=0 Ticket=t Backend=b Go=0 LatencyUs=5 How=0 DoneFlag=1"
    adapter.event(2.0, reply, iter(()), out)
    assert "malformed input: no attempt 0 of t is in flight" in errors.getvalue()
