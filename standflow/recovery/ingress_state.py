"""Connects the state store to the parts of an ingress whose state it keeps."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from standflow.config import Config
from standflow.config.model import StoreOptions
from standflow.driver import Driver
from standflow.isolation import run_for_each, run_isolated
from standflow.net.client_side import ClientSide
from standflow.net.loop import Loop
from standflow.ops.overlay import Overlay, Override
from standflow.recovery.records import identity
from standflow.recovery.store import Store
from standflow.recovery.trust import Plan, TrustedState, Window
from standflow.recovery.writer import StateStoreWriter, WriterCallbacks


@dataclass(slots=True)
class StoredParts:
    """The parts of an ingress whose state is stored."""

    driver: Driver
    clients: ClientSide
    overlay: Overlay | None  # None if the operators' API is off
    routes: Callable[[], list[dict[str, Any]]]  # the route set as discovered
    members: Callable[[], dict[str, list[Any]] | None]  # None while the membership is not known


def make_writer(
    loop: Loop, log: Callable[[str], None], config: Config, options: StoreOptions, parts: StoredParts
) -> StateStoreWriter:
    """The writer of the state of these parts."""
    driver, clients = parts.driver, parts.clients

    def refill(window: Window) -> None:
        driver.restore_use([[window.key, window.plan, window.first, window.size, window.own, window.others]])

    callbacks = WriterCallbacks(
        used_windows=driver.used_since,
        refill_windows=lambda windows: run_for_each(log, windows, refill),
        learned_estimates=driver.learned_estimates,
        restore_learned_estimates=driver.restore_learned_estimates,
        routes=parts.routes,
        operator_overrides=lambda: _overrides(parts.overlay),
        evacuation=lambda: (clients.evacuated, clients.evacuated_at),
        members=parts.members,
    )
    fleet = "" if config.fleet is None else config.fleet.name
    owner = identity(config.name, config.settings.number, fleet)
    store = Store(options.folder, owner, options.max_bytes)
    return StateStoreWriter(loop, log, store, options.write_interval, callbacks)


def _overrides(overlay: Overlay | None) -> dict[str, list[Any]] | None:
    if overlay is None:
        return None
    return {
        hop: [override.excluded, override.at, override.excluded_at]
        for hop, override in overlay.overrides.items()
    }


def load_state(writer: StateStoreWriter, config: Config, parts: StoredParts) -> TrustedState:
    """Loads the store, and applies the operators' overrides and the evacuation found in it."""
    plans = {plan.name: Plan(plan.burst, plan.rate) for plan in config.settings.plans}
    restored = writer.load(plans)
    if parts.overlay is not None:
        for hop, (excluded, at, excluded_at) in restored.operator_overrides.items():
            parts.overlay.merge(hop, Override(excluded, at, excluded_at))
    if restored.evacuation is not None:
        parts.clients.evacuate(*restored.evacuation)
    return restored


def restore_state(writer: StateStoreWriter, restored: TrustedState) -> None:
    """Takes over what was loaded. What can't be used is logged, and the process serves without it."""
    writer.callbacks.refill_windows(restored.windows)
    if restored.learned_estimates is not None:
        try:
            writer.callbacks.restore_learned_estimates(restored.learned_estimates)
        except Exception as error:
            writer.log(f"store: the learned estimates are ignored: {error!r}")
    run_isolated(writer.log, writer.start, restored)
