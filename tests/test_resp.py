"""RESP codec: parsing is independent of segmentation, and malformed input raises the codec's errors."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standflow.net import resp

ANY = st.binary(max_size=200)
LEAVES = st.one_of(st.none(), ANY, st.integers(-1000, 1000))
REPLIES = st.one_of(LEAVES, st.lists(LEAVES, max_size=4))  # answers contain no nested arrays


def encoded(reply: resp.Reply) -> bytes:
    if reply is None:
        return b"$-1\r\n"
    if isinstance(reply, int):
        return b":%d\r\n" % reply
    if isinstance(reply, list):
        return b"*%d\r\n" % len(reply) + b"".join(encoded(part) for part in reply)
    assert isinstance(reply, bytes)
    return resp.bulk(reply)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.lists(ANY, min_size=1, max_size=5), max_size=4), st.integers(1, 50))
def test_commands_are_parsed_independently_of_segmentation(commands: list[list[bytes]], cut: int) -> None:
    data = b"".join(b"*%d\r\n" % len(c) + b"".join(resp.bulk(part) for part in c) for c in commands)
    buffer, got = resp.Buffer(), []
    for at in range(0, len(data), cut):
        buffer.feed(data[at : at + cut])
        while (command := buffer.command()) is not None:
            got.append(command)
    assert got == commands
    assert not buffer.data


@settings(derandomize=True, deadline=None)
@given(st.integers(1, 9), st.integers(0, 400), st.integers(0, 40), st.integers(1, 100))
def test_dropped_body_leaves_its_command_and_those_behind_it(
    more: int, dropped_at: int, cut: int, second_cut: int
) -> None:
    """Guards against a client that gets the answers of other commands behind a body that was dropped."""
    size = resp.MAX_VALUE + more
    parts = [b"Q.DO", b"%016x" % 7, b"aa01", b"c=look,t=plain,d=600", b"x" * size]
    head = b"*5\r\n" + b"".join(map(resp.bulk, parts[:-1])) + resp.bulk_head(size)
    behind = [b"Q.ASK", b"%016x" % 7, b"aa02", b"c=look,t=plain,d=600"]
    data = head + parts[-1] + b"\r\n" + b"*4\r\n" + b"".join(map(resp.bulk, behind))
    end = len(head) + size + 2
    buffer = resp.Buffer()
    got: list[list[resp.Part]] = []
    begin = len(head) + dropped_at
    buffer.feed(data[:begin])
    assert buffer.command() is None
    assert (buffer.body, resp.time_limit(buffer.parts_before_body)) == (size, 0.6)
    buffer.drop_body()
    buffer.drop_body()
    assert not buffer.data
    pieces = sorted({begin, end - cut, min(end - cut + second_cut, len(data)), len(data)})
    for start, stop in zip(pieces, pieces[1:], strict=False):
        assert buffer.holds_part or got
        buffer.feed(data[start:stop])
        while (command := buffer.command()) is not None:
            got.append(command)
    assert got == [[*parts[:-1], b""], behind]
    assert not buffer.holds_part


@settings(derandomize=True, deadline=None)
@given(REPLIES, st.integers(1, 50))
def test_replies_are_parsed_independently_of_segmentation(reply: resp.Reply, cut: int) -> None:
    data, buffer = encoded(reply), resp.Buffer()
    for at in range(0, len(data), cut):
        buffer.feed(data[at : at + cut])
        got = buffer.reply()
        assert (got is not None) == (at + cut >= len(data))
    assert got == (reply,)


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=60), st.sampled_from([b"", b"*", b"*1\r\n$", b"*2\r\n$4\r\nPING\r\n"]))
def test_codec_raises_only_its_own_errors(noise: bytes, start: bytes) -> None:
    for read in (resp.Buffer.command, resp.Buffer.reply):
        buffer = resp.Buffer()
        buffer.feed(start + noise)
        try:
            while (got := read(buffer)) is not None:
                if read is resp.Buffer.command:
                    resp.decode_command(list(got))  # type: ignore[arg-type]
                else:
                    resp.decode_answer(got[0])  # type: ignore[arg-type]
        except (resp.FramingError, resp.CommandError):
            continue


OPTIONS = b"c=look,t=plain,d=480,k=x,units=2,spread=3,first=1"


def ask(options: bytes, tenant: bytes = b"00000000b4d65521") -> resp.Ping | resp.Ask:
    return resp.decode_command([b"Q.DO", tenant, b"9b1f03aa5c7e2d41", options, b"BODY"])


@pytest.mark.parametrize("place", [0, 2, 6])
def test_only_the_time_left_is_rewritten(place: int) -> None:
    pieces = [piece for piece in OPTIONS.split(b",") if piece != b"d=480"]
    pieces.insert(place, b"d=480")
    got = ask(b",".join(pieces))
    assert isinstance(got, resp.Ask)
    assert (got.time_left, got.units, got.spread, got.first) == (0.48, 2.0, 3, 1)
    buffer = resp.Buffer()
    buffer.feed(b"".join(resp.encode_ask(got, 0.1239)))
    pieces[place] = b"d=123"
    assert buffer.command() == [b"Q.DO", b"00000000b4d65521", b"9b1f03aa5c7e2d41", b",".join(pieces), b"BODY"]


@pytest.mark.parametrize(
    "options",
    [
        b"",
        b"c=look",
        OPTIONS.replace(b"d=480", b"d=+480"),
        OPTIONS.replace(b"d=480", b"d=0"),
        OPTIONS.replace(b"d=480", b"d=" + b"9" * 5000),
        OPTIONS.replace(b"units=2", b"units=nan"),
        OPTIONS.replace(b"units=2", b"units=1_0"),
        OPTIONS.replace(b"spread=3", b"spread=0"),
        OPTIONS.replace(b"c=look", b"c=l\xffk"),
        OPTIONS + b",d=4",
        OPTIONS + b",=4",
    ],
)
def test_invalid_options_are_rejected(options: bytes) -> None:
    with pytest.raises(resp.CommandError):
        ask(options)


@pytest.mark.parametrize("tenant", [b"", b"b4d65521", b"0000000200000000", b"+0000000b4d65521"])
def test_invalid_tenant_is_rejected(tenant: bytes) -> None:
    with pytest.raises(resp.CommandError, match="bad customer"):
        ask(OPTIONS, tenant)


def test_next_hop_answers_are_decoded() -> None:
    assert resp.decode_answer([b"v", None, None]) == resp.Value(b"v")
    assert resp.decode_answer([b"v", b"86", b"queue=2,util=0.61"]) == resp.Value(
        b"v", 86.0, {"queue": 2.0, "util": 0.61}
    )
    assert resp.decode_answer(resp.ErrorReply(b"BUSY")) == resp.BusyReply()
    assert resp.decode_answer(resp.ErrorReply(b"ERR failed queue=2")) == resp.FailedReply(
        "ERR failed queue=2", {"queue": 2.0}
    )
    assert resp.decode_answer(resp.ErrorReply(b"BUSY queue=2")) == resp.BusyReply({"queue": 2.0})
    # None of these proves that the command was not run.
    for malformed in (b"BUSYX", b"BUSY \xff\x00", b"BUSY queue=nan", b"busy"):
        assert isinstance(resp.decode_answer(resp.ErrorReply(malformed)), resp.FailedReply)
    assert resp.decode_answer([b"v", b"\xff", b"queue=nan,util=inf,=3,x"]) == resp.Value(b"v")
    odds: list[resp.Reply] = [None, b"v", 3, [], [None, None], resp.SimpleString(b"v")]
    for odd in odds:
        with pytest.raises(resp.FramingError):
            resp.decode_answer(odd)


@pytest.mark.parametrize(
    "malformed",
    [
        b"*1000000000\r\n",
        b"*3\r\n*3",
        b"*3\r\n+v",
        b"*3\r\n$-7\r\n",
        b"*3\r\n$3000000000\r\n",
        b"<",
        b"$x\r\n",
    ],
)
def test_impossible_answers_are_rejected_early(malformed: bytes) -> None:
    """Nested arrays used to be read until the request timed out."""
    buffer = resp.Buffer()
    buffer.feed(malformed)
    with pytest.raises(resp.FramingError):
        buffer.reply()


def test_refusals_contain_the_retry_time() -> None:
    assert resp.busy(None) == b"-BUSY\r\n"
    assert resp.busy(0.0001) == b"-BUSY 1\r\n"
    assert resp.busy(0.5) == b"-BUSY 500\r\n"
