"""Rebuilds an owner's state from the task list of an upstream."""

from typing import TYPE_CHECKING

import logbook
import msgspec

from hornbeamramp.decisions import Stop
from hornbeamramp.ids import AttemptId, Epoch
from hornbeamramp.job_records import task_of
from hornbeamramp.jobs import BatchJob, GangJob, Job, ServiceJob
from hornbeamramp.states import TaskState
from hornbeamramp.upstream_link import UpstreamLink
from hornbeamramp.upstreams import ListedTask

if TYPE_CHECKING:
    from hornbeamramp.owner import ShardOwner

__all__ = ["reconcile"]

_log = logbook.Logger("owner")
_decoder = msgspec.msgpack.Decoder(BatchJob | ServiceJob | GangJob)


def reconcile(
    owner: "ShardOwner", link: UpstreamLink, tasks: list[ListedTask], first: bool
) -> list[AttemptId]:
    """Accounts for every listed task and returns the attempts that are to be followed.

    Tasks of this shard are adopted with the job from their labels. Use that can't be accounted
    for stays allocated until its lease has lapsed.
    """
    adopted = []
    for task in tasks:
        if task.attempt_id in link.attempts:
            continue
        job = _own_job(owner, task)
        if job is not None and _is_adoptable(owner, job, task):
            _adopt(owner, link, job, task.attempt_id)
            adopted.append(task.attempt_id)
        elif task.state is TaskState.RUNNING:
            _hold(owner, link, task)
            if not first and _is_own_leftover(owner, task):
                owner._apply(Stop(task.attempt_id, link.id))
    return adopted


def _own_job(owner: "ShardOwner", task: ListedTask) -> Job | None:
    labels = task.labels
    if labels is None or labels.shard != owner.shard or not labels.job:
        return None
    try:
        return _decoder.decode(labels.job)
    except msgspec.MsgspecError:
        _log.warning("{}: unreadable job label", task.attempt_id)
        return None


def _is_adoptable(owner: "ShardOwner", job: Job, task: ListedTask) -> bool:
    """Only tasks of earlier owners are adopted, and one attempt for each task of a job."""
    if task.labels is None or task.labels.epoch >= owner.epoch:
        return False
    if task.state not in (TaskState.RUNNING, TaskState.SUCCEEDED):
        return False
    record = owner.records.get(job.id)
    if record is None:
        return not owner.records.is_refused(job.id)
    index = task_of(task.attempt_id)
    taken = {task_of(attempt) for attempt in record.upstream_by_attempt}
    return record.ended_at is None and index not in taken and index not in record.result_by_task


def _adopt(owner: "ShardOwner", link: UpstreamLink, job: Job, attempt_id: AttemptId) -> None:
    record = owner.records.get(job.id) or owner.records.create(job)
    owner.scheduler.adopt(job, attempt_id, link.id)
    record.upstream_by_attempt[attempt_id] = link.id
    record.running_tasks.add(task_of(attempt_id))
    link.track(attempt_id)
    _log.info("{}: adopted attempt {}", link.id, attempt_id)


def _hold(owner: "ShardOwner", link: UpstreamLink, task: ListedTask) -> None:
    until = owner._clock.boot_time() + task.lease_left
    owner.scheduler.hold_unknown(link.id, task.attempt_id, task.resources, until)


def _is_own_leftover(owner: "ShardOwner", task: ListedTask) -> bool:
    labels = task.labels
    return labels is not None and labels.shard == owner.shard and labels.epoch == Epoch(owner.epoch)
