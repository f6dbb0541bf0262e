"""Hypothesis strategies for sequences of requests and faults, and a function to apply them."""

from typing import Any

from hypothesis import strategies as st

from hornbeamramp.platforms.memory import StoreMode
from hornbeamramp.states import Band, Capability
from hornbeamramp.tables import Pool, PoolUpstream, Quota
from tests.support.cell import POOL, SECOND, SimulatedCell

__all__ = ["CAPABILITIES", "apply", "sequences"]

CAPABILITIES = [
    frozenset(Capability),
    frozenset({Capability.FENCE, Capability.LABELS}),
    frozenset({Capability.NOT_AFTER, Capability.LABELS}),
    frozenset({Capability.LABELS}),
    frozenset(),
]
# Upstreams with neither fence nor not-after can't refuse a start that arrives later than this; the
# design page lists this case as not proved.
MAX_UNFENCED_DELAY_S = 0.4

vms = st.integers(0, 3)
workers = st.integers(0, 3)
counts = st.integers(1, 3)
calls = st.integers(0, 30)
seconds = st.sampled_from([0.0, 0.3, 1.2, 4.0, 9.0])

jobs = st.fixed_dictionaries(
    {
        "route": st.sampled_from(["ticket", "ticket", "ticket", "gate", "sort"]),
        "run": st.sampled_from([0.2, 1.0, 5.0, 15.0]),
        "tasks": st.sampled_from([1, 1, 2, 3]),
        "idempotent": st.booleans(),
        "asynchronous": st.booleans(),
        "deadline": st.sampled_from([None, None, 2.0, 30.0]),
        "band": st.sampled_from(list(Band)),
        "key": st.sampled_from([None, None, "key-a", "key-b"]),
    }
)
requests = st.one_of(
    st.tuples(st.just("submit"), vms, jobs),
    st.tuples(st.just("burst"), vms, jobs, st.integers(2, 12)),
    st.tuples(st.sampled_from(["cancel", "fetch"]), vms, calls),
    st.tuples(st.just("change"), vms, st.integers(1, 4)),
)
process_faults = st.one_of(
    st.tuples(st.sampled_from(["kill", "lose", "restart", "pause", "resume", "stop"]), vms),
    st.tuples(st.sampled_from(["cut_view", "heal_view"]), vms),
    st.tuples(st.just("lose_view"), vms, counts),
    st.tuples(st.just("delay_view"), vms, seconds),
    st.tuples(st.just("store"), st.sampled_from(list(StoreMode))),
    st.tuples(st.just("isolate"), st.integers(0, 1), st.booleans()),
)
peer_faults = st.tuples(
    st.just("peer"),
    vms,
    vms,
    st.sampled_from(["cut", "delay", "jitter", "drop_requests", "drop_replies", "duplicates"]),
    seconds,
    counts,
)
upstream_faults = st.one_of(
    st.tuples(
        st.just("upstream"),
        vms,
        workers,
        st.sampled_from(
            [
                "cut",
                "delay",
                "starts_delayed_by",
                "drop_requests",
                "drop_replies",
                "drop_start_replies",
                "duplicate_starts",
                "crossed_answers",
                "truncated_answers",
                "silent",
            ]
        ),
        seconds,
        counts,
    ),
    st.tuples(st.sampled_from(["die", "revive", "fail", "leave", "list_leaving"]), workers),
)
actions = st.one_of(
    requests,
    requests,
    requests,
    process_faults,
    peer_faults,
    upstream_faults,
    st.just(("heal",)),
)
advances = st.sampled_from([0.0, 0.1, 0.7, 1.5, 3.0, 5.5, 8.0])
sequences = st.lists(st.tuples(actions, advances), min_size=1, max_size=14)


def apply(cell: SimulatedCell, action: tuple[Any, ...]) -> None:
    """Applies one action of a sequence to the cell."""
    kind, *arguments = action
    if kind in ("submit", "burst"):
        vm = _vm(cell, arguments[0])
        for number in range(arguments[2] if kind == "burst" else 1):
            vm.submit(_job(cell, arguments[1], number))
    elif kind in ("cancel", "fetch"):
        vm = _vm(cell, arguments[0])
        if cell.calls and vm.is_running:
            getattr(vm, kind)(cell.calls[arguments[1] % len(cell.calls)])
    elif kind == "change":
        _propose_change(cell, _vm(cell, arguments[0]), arguments[1])
    elif kind == "store":
        cell.platform.mode = arguments[0]
    elif kind == "isolate":
        cell.isolate(cell.data_centres[arguments[0]], arguments[1])
    elif kind == "peer":
        _apply_peer_fault(cell, *arguments)
    elif kind == "upstream":
        _apply_upstream_fault(cell, *arguments)
    elif kind == "heal":
        cell.heal()
    elif kind in ("die", "revive", "fail", "leave", "list_leaving"):
        _apply_worker_fault(cell, kind, arguments[0])
    else:
        _apply_process_fault(cell, kind, *arguments)


def _vm(cell: SimulatedCell, index: int):
    return cell.vm[cell.names[index % len(cell.names)][0]]


def _worker(cell: SimulatedCell, index: int):
    return list(cell.worker.values())[index % len(cell.worker)]


def _job(cell: SimulatedCell, fields: dict[str, Any], number: int):
    fields = dict(fields)
    route, run = fields.pop("route"), fields.pop("run") * SECOND
    if fields["key"] is not None:
        # Jobs with the same key must be the same request, so the key includes fields that differ.
        identity = (route, fields["tasks"], fields["idempotent"])
        fields["key"] = f"{fields['key']}-{number}-{identity}"
        fields["payload"] = fields["key"].encode()
    if fields["deadline"] is not None:
        fields["deadline"] *= SECOND
    return cell.job(route, run, **fields)


def _propose_change(cell: SimulatedCell, vm, weight: int) -> None:
    """Proposes a pool with another quota weight, without the first worker if ``weight`` is 1."""
    if not vm.is_running:
        return
    tables = vm.parts.configuration.tables
    row: Pool = tables.pool_by_name[POOL]
    all_upstreams = [PoolUpstream(w.name, w.data_centre, w.name) for w in cell.worker.values()]
    upstreams = all_upstreams[1:] if weight == 1 else all_upstreams
    changed = Pool(row.name, upstreams, {"yard": Quota(weight=float(weight))})
    cell.begin_proposal(vm, "pools", POOL, changed, tables.pool_version_by_name[POOL])


def _apply_peer_fault(
    cell, sender_index: int, receiver_index: int, fault: str, delay: float, count: int
) -> None:
    sender, receiver = _vm(cell, sender_index), _vm(cell, receiver_index)
    link_faults = cell.network.faults(sender.name, receiver.name)
    _set_fault(link_faults, fault, delay, count)


def _apply_upstream_fault(
    cell, vm_index: int, worker_index: int, fault: str, delay: float, count: int
) -> None:
    worker = _worker(cell, worker_index)
    if not worker.shape().capabilities & {Capability.FENCE, Capability.NOT_AFTER}:
        delay = min(delay, MAX_UNFENCED_DELAY_S)
        if fault == "duplicate_starts":
            return
    _set_fault(_vm(cell, vm_index).upstream_faults(worker.name), fault, delay, count)


def _set_fault(faults, fault: str, delay: float, count: int) -> None:
    if fault == "cut":
        faults.cut = True
    elif fault in ("delay", "jitter", "starts_delayed_by"):
        setattr(faults, fault, delay * SECOND)
    else:
        setattr(faults, fault, count)


def _apply_worker_fault(cell: SimulatedCell, kind: str, index: int) -> None:
    worker = _worker(cell, index)
    if kind == "die":
        worker.die()
    elif kind == "revive":
        worker.is_up = True
        worker.fail_all = False
    elif kind == "fail":
        worker.fail_all = True
    elif kind == "leave" and worker.leaving_since is None:
        worker.leave()
    elif kind == "list_leaving" and worker.leaving_since is None:
        cell.list_as_leaving(worker.name)


def _apply_process_fault(cell: SimulatedCell, kind: str, index: int, *arguments: Any) -> None:
    vm = _vm(cell, index)
    if kind == "restart":
        if not vm.is_running:
            cell.start_vm(vm.name)
        return
    if not vm.is_running:
        return
    if kind == "kill":
        vm.kill()
    elif kind == "lose":
        vm.kill(lost=True)
    elif kind == "pause":
        vm.pause.pause()
    elif kind == "resume":
        vm.pause.resume()
    elif kind == "stop":
        if vm.stopping is None:
            vm.stop()
    elif kind in ("cut_view", "heal_view"):
        vm.store.cut = kind == "cut_view"
    elif kind == "lose_view":
        vm.store.answers_to_lose = arguments[0]
    elif kind == "delay_view":
        vm.store.delay = arguments[0] * SECOND
