"""All directives of the operator's file. docs/operators/configuration.md is generated from these tables."""

from __future__ import annotations

from standflow.config.schema import (
    ADDRESS,
    ADDRESS_OR_OFF,
    HOST,
    MODE,
    PATH,
    SEED,
    SWITCH,
    TEXT,
    Directive,
    fraction,
    integer,
    number,
    one_of,
    size,
    time,
)

CLASS = (
    Directive(
        "effect",
        (one_of("safe", "unsafe"),),
        "Requests that are safe may run more than once; unsafe ones must never run twice.",
        "safe",
    ),
    Directive("aim", (time(1e-3, 600),), "Target time to the answer.", required=True),
    Directive("deadline", (time(1e-3, 600),), "Longest time that a client waits.", required=True),
    Directive("worth", (number(0, 1e6),), "Value of an answer in time, relative to other classes.", "1"),
    Directive("late-worth", (fraction(0, 1),), "Fraction of this value for a late answer.", "0%"),
)

PLAN = (
    Directive("rate", (number(0, 1e9),), "Units per second for each tenant.", required=True),
    Directive("burst", (number(0.001, 1e9),), "Units that may be used at once.", required=True),
    Directive("open", (integer(0, 1000000),), "Concurrent attempts for each tenant; 0: unlimited.", "0"),
    Directive("price", (number(0, 1e6),), "Value of this plan's units, relative to other plans.", "1"),
    Directive("excess-worth", (fraction(0, 1),), "Value of an answer beyond the quota.", "0%"),
    Directive("excess-cost", (fraction(0, 10),), "Cost of forwarding a request beyond the quota.", "50%"),
    Directive("ceiling-rate", (number(0, 1e9),), "Hard limit in units per second; 0: none.", "0"),
    Directive("ceiling-burst", (number(0, 1e9),), "Burst of the hard limit.", "0"),
)

LIMITS = (
    Directive("attempts", (integer(1, 100),), "Maximum number of attempts for a request.", "5"),
    Directive("open", (integer(1, 10**9),), "Maximum number of open transactions.", "20000"),
    Directive(
        "unread",
        (size(1 << 20, 1 << 36),),
        "Bytes that may be held for clients beside long bodies and values, at most a quarter of the memory.",
        "32m",
    ),
    Directive("units", (number(0.001, 1e6),), "Maximum units of one request.", "4"),
    Directive("dial-timeout", (time(1e-3, 60),), "Timeout of connecting to a next hop.", "250ms"),
    Directive("idle", (time(0.1, 86400),), "When next hops close idle connections.", "15s"),
    Directive(
        "retry-after",
        (time(0, 600),),
        "Longest retry delay that clients respect; 0: do not send any.",
        "500ms",
    ),
    Directive(
        "drain-grace", (time(0, 600),), "New requests to a draining next hop stop within this time.", "500ms"
    ),
    Directive("probes", (SWITCH,), "Whether next hops may be probed with PING.", "on"),
    Directive("second-copies", (SWITCH,), "Whether a safe request may have two attempts at once.", "on"),
    Directive(
        "peer-messages",
        (integer(0, 100000),),
        "Datagrams per second that an ingress accepts from its peers; 0: send none.",
        "100",
    ),
)

COLD = (
    Directive("from", (fraction(0.01, 1),), "Initial capacity of a next hop after its start.", "15%"),
    Directive("time", (time(0, 3600),), "Time until it is warm at the latest.", "17s"),
    Directive(
        "multiple",
        (number(1, 1000),),
        "It fails when all ingresses together send it this multiple of its capacity",
        "4",
    ),
    Directive("window", (time(0.1, 600),), "for this long.", "3s"),
)

NEXT_HOP = (
    Directive("address", (ADDRESS,), "Address that it listens on.", required=True),
    Directive("zone", (TEXT,), "Its zone.", "local"),
    Directive("kind", (TEXT,), "Its kind of machine.", "box"),
    Directive("size", (number(0.001, 1e6),), "Its capacity, relative to the others.", "1"),
)

TLS = (
    Directive("roots", (PATH,), "PEM file of the trusted certificate authorities.", required=True),
    Directive("certificate", (PATH,), "PEM file with this ingress's certificate and its intermediates."),
    Directive("key", (PATH,), "PEM file with the private key of the certificate."),
    Directive("key-mode", (MODE,), "Permission bits that the key file may have at most.", "0600"),
    Directive("minimum", (one_of("1.2", "1.3"),), "Minimum TLS version.", "1.3"),
    Directive("alpn", (TEXT,), "Application protocols offered, in order of preference.", variadic=True),
    Directive(
        "name",
        (TEXT, HOST),
        "Required certificate name of one next hop: its id, then the name.",
        repeatable=True,
    ),
    Directive(
        "names",
        (TEXT,),
        "Required certificate names of all other next hops: a template over {id}, {zone} and {kind}, then "
        "pairs such as `zone room-*` that restrict it to matching next hops. The first match applies.",
        repeatable=True,
        variadic=True,
    ),
    Directive("handshake-timeout", (time(0.01, 60),), "Timeout of a handshake.", "2s"),
    Directive("sessions", (integer(0, 1000),), "Sessions cached for each next hop.", "8"),
    Directive("session-life", (time(1, 604800),), "Maximum age of a session that is resumed.", "2h"),
    Directive("watch", (time(0, 3600),), "Interval between checks of the files; 0: on SIGHUP only.", "5s"),
    Directive("warn", (time(0, 86400 * 365),), "When to warn before a certificate expires.", "14d"),
)

HANDSHAKES = (
    Directive("limit", (SWITCH,), "Off: no limits, and next hops get requests before they are ready.", "on"),
    Directive(
        "share",
        (fraction(0.001, 1),),
        "Share of a cold next hop's capacity for the handshakes of all ingresses.",
        "20%",
    ),
    Directive("warm-share", (fraction(0.001, 1),), "The same for a warm next hop.", "50%"),
    Directive(
        "cores",
        (TEXT, number(0.01, 1024)),
        "Cores of a kind of next hop; `*`: all other kinds.",
        repeatable=True,
    ),
    Directive("cost", (time(1e-6, 10),), "Minimum CPU time of a full handshake at the next hop.", "700us"),
    Directive("resumed-cost", (time(1e-6, 10),), "The same for a resumed session.", "500us"),
    Directive(
        "back-off",
        (time(1e-3, 3600), time(1e-3, 3600)),
        "First pause after a failure, and the longest one.",
        "100ms 5s",
    ),
    Directive("ready", (integer(1, 64),), "Connections established before a next hop gets requests.", "1"),
    Directive("plain", (SWITCH,), "Apply the same limits to connections without TLS.", "off"),
)

WITNESS = (
    Directive(
        "calls", (number(1, 100000),), "Maximum calls per second from this ingress to the counter.", "100"
    ),
    Directive("every", (time(0.01, 10),), "Interval between rounds of calls.", "250ms"),
    Directive(
        "near", (fraction(0, 1),), "Fraction of its burst that a tenant must use to be reconciled.", "30%"
    ),
)

FLEET = (
    Directive("name", (TEXT,), "Name of the fleet; datagrams of other fleets are dropped.", "standflow"),
    Directive(
        "seed", (ADDRESS,), "Datagram address to join through, instead of `peer` lines.", repeatable=True
    ),
)

STORE = (
    Directive("folder", (PATH,), "Folder on a persistent disk, used by this ingress alone.", "store"),
    Directive("every", (time(0.05, 60),), "Interval between writes.", "250ms"),
    Directive(
        "most",
        (size(65536, 1 << 30),),
        "Maximum bytes of stored data; the oldest use is dropped first.",
        "8m",
    ),
)

TOP = (
    Directive(
        "platform", (PATH,), "JSON file in the platform's format; directives in this file override it."
    ),
    Directive("name", (TEXT,), "Name of this ingress.", "n0"),
    Directive("listen", (ADDRESS,), "Address for clients.", "127.0.0.1:7001"),
    Directive(
        "discovery", (ADDRESS_OR_OFF,), "Discovery agent; off: use the next hops configured here.", "off"
    ),
    Directive("counter", (ADDRESS,), "The quota counter."),
    Directive("seed", (SEED,), "Seed of random numbers; without it, a new one at every start."),
    Directive(
        "ops", (ADDRESS,), "Address of the operators' API; `EDGE_OPS` overrides it. Disabled without both."
    ),
    Directive("memory", (size(16 << 20, 1 << 40),), "Bytes that the process may use.", "192m"),
    Directive("sockets", (integer(64, 10**7),), "Descriptors that the process may open.", "1024"),
    Directive("number", (integer(0, 65535),), "Number of this ingress, starting at 0.", "0"),
    Directive("ingresses", (integer(1, 65535),), "Number of ingresses.", "1"),
    Directive("peer-listen", (ADDRESS,), "Address for datagrams from other ingresses."),
    Directive(
        "peer",
        (ADDRESS,),
        "Datagram address of an ingress, one for each in the order of numbers, including this one.",
        repeatable=True,
    ),
    Directive("peers-all", (ADDRESS,), "Address that reaches all ingresses."),
    Directive("zone", (TEXT,), "Zone of this ingress.", "local"),
    Directive("zones", (TEXT,), "All zones.", "local", variadic=True),
    Directive("class", (TEXT,), "A class of requests.", repeatable=True, block=CLASS),
    Directive("plan", (TEXT,), "A plan with its quotas.", repeatable=True, block=PLAN),
    Directive("limits", (), "Limits on transactions and connections.", "", block=LIMITS),
    Directive("cold", (), "How a next hop warms up after its start.", "", block=COLD),
    Directive(
        "next-hop", (TEXT,), "A next hop known at the start, by its id.", repeatable=True, block=NEXT_HOP
    ),
    Directive("fleet", (), "Membership among the ingresses; disabled without this block.", block=FLEET),
    Directive("store", (), "State that survives a power loss; disabled without this block.", block=STORE),
    Directive(
        "witness",
        (),
        "Counter reconciliation in addition to the ring; disabled without this block.",
        block=WITNESS,
    ),
    Directive("tls", (), "TLS to next hops; disabled without this block.", block=TLS),
    Directive(
        "handshakes", (), "Limits on handshakes with next hops; they apply with `tls`.", "", block=HANDSHAKES
    ),
)
