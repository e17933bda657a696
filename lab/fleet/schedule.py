"""Schedules of faults for a fleet: parsed from a small text format, or drawn from a seed. No I/O.

# seconds, step, and members
8     cut 3 4          # partition: these reach each other, and the others each other
18    heal
8     block 0 2        # no datagrams between any of these
8     mute 4 5         # datagrams from these to the others are dropped
8     kill 3 4         # SIGKILL
9.5   start 3 4
8     stop 2           # SIGTERM
8     hold 1 3s        # SIGSTOP, and SIGCONT after 3 s
0     loss 6.5%        # also: again 5%, noise 1%, delay 30ms
8     box-cut 0 1      # blackholes connections between these and all boxes
8     box-reset 0 1    # their connections to boxes are reset, new ones too
0     box-delay 20ms   # each way, for all
8     list-cut 0 1     # blackholes discovery for these
8     box-heal         # boxes and discovery are reachable again
8     drain 1          # discovery reports box 1 as draining
9     back 1           # box 1 was restarted, cold, and serves
"""

from __future__ import annotations

import random
import re
from dataclasses import dataclass

TO_MEMBERS = ("cut", "block", "mute", "kill", "start", "stop", "hold")
AMOUNTS = ("loss", "again", "noise", "delay", "hold", "box-delay")
ON_STREAMS = ("box-cut", "box-reset", "list-cut")  # these take members, too
TO_BOXES = ("drain", "back")
ALONE = ("heal", "box-heal")
NEEDS_STREAMS = (*ON_STREAMS, *TO_BOXES, "box-delay", "box-heal")
MOST_BOXES = 1000


class ScheduleError(ValueError):
    """A line that can't be parsed; the message names the line."""


@dataclass(slots=True, frozen=True)
class Step:
    """A step at `at` seconds. `amount`: seconds, or a fraction."""

    at: float
    what: str
    members: tuple[int, ...] = ()
    amount: float = 0.0


def read(text: str, size: int) -> list[Step]:
    """Parses a text into steps, in order of time, for a fleet of `size` members."""
    steps = []
    for number, line in enumerate(text.splitlines(), 1):
        words = line.partition("#")[0].split()
        if words:
            try:
                steps.append(_step(words, size))
            except (ValueError, IndexError) as error:
                raise ScheduleError(f"line {number}: '{line.strip()}': {error}") from None
    return sorted(steps, key=lambda step: step.at)


def _step(words: list[str], size: int) -> Step:
    at, what, rest = float(words[0]), words[1], words[2:]
    amount = _amount(rest.pop()) if what in AMOUNTS else 0.0
    members = tuple(int(word) for word in rest)
    named = (*TO_MEMBERS, *ON_STREAMS, *TO_BOXES)
    if what not in (*named, *AMOUNTS, *ALONE):
        raise ValueError("expected one of " + ", ".join(dict.fromkeys((*named, *AMOUNTS, *ALONE))))
    most = MOST_BOXES if what in TO_BOXES else size
    if (what in named) != bool(members) or not all(0 <= member < most for member in members) or at < 0:
        raise ValueError(f"expected members from 0 to {most - 1} where there are any")
    return Step(at, what, members, amount)


def _amount(word: str) -> float:
    match = re.fullmatch(r"(\d+(?:\.\d+)?)(%|ms|s)", word)
    if match is None:
        raise ValueError("expected an amount, such as 5%, 30ms or 3s")
    return float(match[1]) * {"%": 0.01, "ms": 0.001, "s": 1.0}[match[2]]


def draw(seed: int, size: int, span: float) -> list[Step]:
    """Draws faults of all kinds, all over before the last third of the span; deterministic for a seed."""
    rng = random.Random(seed)
    steps = [Step(0.0, "loss", amount=rng.choice([0.0, 0.03, 0.065]))]
    steps.append(Step(0.0, "delay", amount=rng.choice([0.0, 0.01, 0.03])))
    end = span * 2 / 3
    for _ in range(rng.randint(1, 3)):
        at, what = rng.uniform(4.0, end / 2), rng.choice(["cut", "kill", "hold", "mute", "block"])
        some = tuple(sorted(rng.sample(range(size), rng.randint(1, max(1, size // 2)))))
        later = rng.uniform(at + 1.0, end)
        if what == "kill":
            steps += [Step(at, "kill", some), Step(later, "start", some)]
        elif what == "hold":
            steps.append(Step(at, "hold", some[:1], rng.uniform(1.0, 3.0)))
        else:
            steps += [Step(at, what, some[:2] if what == "block" else some), Step(later, "heal")]
    return sorted(steps, key=lambda step: step.at)
