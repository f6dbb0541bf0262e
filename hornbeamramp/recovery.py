"""Rebuilds the state of a shard's owner from the task lists of upstreams."""

import logbook
import msgspec

from hornbeamramp.clock import Clock
from hornbeamramp.decision_executor import DecisionExecutor
from hornbeamramp.decisions import Stop
from hornbeamramp.ids import AttemptId, Epoch, ShardId
from hornbeamramp.job_records import JobRecords, task_of
from hornbeamramp.jobs import BatchJob, GangJob, Job, ServiceJob
from hornbeamramp.scheduler import ShardScheduler
from hornbeamramp.states import TaskState
from hornbeamramp.upstream_link import UpstreamLink
from hornbeamramp.upstreams import ListedTask

__all__ = ["Reconciler"]

_log = logbook.Logger("owner")
_decoder = msgspec.msgpack.Decoder(BatchJob | ServiceJob | GangJob)


class Reconciler:
    """Enters the tasks that upstreams list into the scheduler and the job records."""

    def __init__(
        self,
        shard: ShardId,
        epoch: Epoch,
        clock: Clock,
        records: JobRecords,
        scheduler: ShardScheduler,
        executor: DecisionExecutor,
    ) -> None:
        self._shard = shard
        self._epoch = epoch
        self._clock = clock
        self._records = records
        self._scheduler = scheduler
        self._executor = executor

    def reconcile(self, link: UpstreamLink, tasks: list[ListedTask], first: bool) -> None:
        """Processes the task list of an upstream.

        Tasks of this shard are adopted with the job from their labels. Resources of other running
        tasks stay allocated until the task's lease has expired. ``first`` tells whether this is
        the first list of the upstream under this owner.
        """
        for task in tasks:
            if task.attempt_id in link.attempts:
                continue
            job = self._own_job(task)
            if job is not None and self._is_adoptable(job, task):
                self._adopt(link, job, task.attempt_id)
            elif task.state is TaskState.RUNNING:
                self._hold_allocation(link, task)
                if not first and self._is_leftover(task):
                    self._executor.apply(Stop(task.attempt_id, link.id))

    def _own_job(self, task: ListedTask) -> Job | None:
        labels = task.labels
        if labels is None or labels.shard != self._shard or not labels.job:
            return None
        try:
            return _decoder.decode(labels.job)
        except msgspec.MsgspecError:
            _log.warning("{}: could not decode job label; task not adopted", task.attempt_id)
            return None

    def _is_adoptable(self, job: Job, task: ListedTask) -> bool:
        """Returns whether to adopt a listed task.

        It must be running or have succeeded under an earlier owner. Of each task of a job only one
        attempt is adopted, and none of a job that was refused or has ended.
        """
        if task.labels is None or task.labels.epoch >= self._epoch:
            return False
        if task.state not in (TaskState.RUNNING, TaskState.SUCCEEDED):
            return False
        record = self._records.get(job.id)
        if record is None:
            return not self._records.is_refused(job.id)
        index = task_of(task.attempt_id)
        taken = {task_of(attempt) for attempt in record.upstream_by_attempt}
        return record.ended_at is None and index not in taken and index not in record.result_by_task

    def _adopt(self, link: UpstreamLink, job: Job, attempt_id: AttemptId) -> None:
        record = self._records.get(job.id) or self._records.create(job)
        self._scheduler.adopt(job, attempt_id, link.id)
        record.upstream_by_attempt[attempt_id] = link.id
        record.running_tasks.add(task_of(attempt_id))
        link.track(attempt_id)
        self._executor.follow(attempt_id, job, link)
        _log.info("{}: adopted attempt {}", link.id, attempt_id)

    def _hold_allocation(self, link: UpstreamLink, task: ListedTask) -> None:
        until = self._clock.boot_time() + task.lease_left
        self._scheduler.reserve_unknown(link.id, task.attempt_id, task.resources, until)

    def _is_leftover(self, task: ListedTask) -> bool:
        """Returns whether this owner started the task and no longer tracks it."""
        labels = task.labels
        return labels is not None and labels.shard == self._shard and labels.epoch == self._epoch
