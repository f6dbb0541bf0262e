"""Counters and histograms of an entry VM. Without a metric reader they record nothing."""

from opentelemetry import metrics

__all__ = [
    "advice_time",
    "commit_time",
    "connection_checks",
    "duration_error",
    "first_start_time",
    "gangs_spread",
    "headroom",
    "idle_closes",
    "jobs_accepted",
    "jobs_beyond_share",
    "jobs_ended",
    "jobs_open",
    "jobs_recovered",
    "late_ends",
    "loop_lag",
    "preemptions",
    "quota_waits",
    "quota_writes",
    "rejected_configurations",
    "refused_requests",
    "rejected_entries",
    "refused_access",
    "request_time",
    "requests",
    "run_ends",
    "runs_given_up",
    "starts",
    "store_calls",
    "takeovers",
    "unanswered_requests",
]

_meter = metrics.get_meter("hornbeamramp")

requests = _meter.create_counter(
    "hornbeamramp.caller.requests", "1", "Requests of callers by method and status"
)
request_time = _meter.create_histogram(
    "hornbeamramp.caller.time", "s", "Time from request to answer, by method"
)
unanswered_requests = _meter.create_counter(
    "hornbeamramp.caller.unanswered", "1", "Requests of callers that were cut off, by method"
)
refused_requests = _meter.create_counter(
    "hornbeamramp.caller.refused",
    "1",
    "Requests and connections refused unread or in part, by listener and reason",
)
idle_closes = _meter.create_counter(
    "hornbeamramp.caller.idle_closes", "1", "Connections closed for their idle time, by listener"
)
store_calls = _meter.create_counter(
    "hornbeamramp.store.operations", "1", "Store calls by operation, way and outcome"
)
commit_time = _meter.create_histogram(
    "hornbeamramp.commit.time", "s", "Time of a commit, with its repetitions"
)
rejected_entries = _meter.create_counter(
    "hornbeamramp.worker_entries.rejected", "1", "Workers' entries that became unusable"
)
rejected_configurations = _meter.create_counter(
    "hornbeamramp.configurations.rejected", "1", "Configurations that could not be used"
)
refused_access = _meter.create_counter(
    "hornbeamramp.caller.access_refused",
    "1",
    "Requests of callers refused for their key or for the account of the job, by reason",
)
takeovers = _meter.create_counter("hornbeamramp.takeovers", "1", "Pools taken over, by pool")
advice_time = _meter.create_histogram(
    "hornbeamramp.advice.time", "s", "Time from a question to its answer, waiting included"
)
jobs_accepted = _meter.create_counter(
    "hornbeamramp.jobs.accepted", "1", "Jobs recorded by this VM as an owner, by queue"
)
jobs_beyond_share = _meter.create_counter(
    "hornbeamramp.jobs.beyond_share",
    "1",
    "Jobs of accounts that sent more than their shares, by queue, and whether they were accepted",
)
jobs_ended = _meter.create_counter(
    "hornbeamramp.jobs.ended", "1", "Jobs ended by this VM as an owner, by phase"
)
jobs_recovered = _meter.create_counter(
    "hornbeamramp.jobs.recovered", "1", "Open jobs that this VM took over, by pool"
)
jobs_open = _meter.create_gauge(
    "hornbeamramp.jobs.open", "1", "Jobs that have not ended, by pool; 0 after a pool is lost"
)
starts = _meter.create_counter("hornbeamramp.run.starts", "1", "Start orders by reply")
connection_checks = _meter.create_counter(
    "hornbeamramp.run.connection_checks",
    "1",
    "Run lists requested before a start, to learn to which boot a connection leads",
)
run_ends = _meter.create_counter("hornbeamramp.run.ends", "1", "Ends of runs, by how")
runs_given_up = _meter.create_counter(
    "hornbeamramp.run.given_up", "1", "Runs that count as ended without a report, by proof"
)
late_ends = _meter.create_counter(
    "hornbeamramp.run.late_ends",
    "1",
    "Listed ends of runs that had been given up, or ended by a former owner, by how",
)
gangs_spread = _meter.create_counter(
    "hornbeamramp.gang.spread", "1", "Gangs that prefer one rack and started on several, by queue"
)
duration_error = _meter.create_histogram(
    "hornbeamramp.run.duration_error", "1", "Measured over expected duration of finished runs"
)
headroom = _meter.create_gauge(
    "hornbeamramp.headroom.tasks", "1", "Tasks of short steps for which room is kept, by pool"
)
preemptions = _meter.create_counter("hornbeamramp.preemptions", "1", "Runs stopped for others")
quota_waits = _meter.create_gauge(
    "hornbeamramp.quota.waiting_accounts",
    "1",
    "Accounts with tasks that only their quota keeps waiting, by pool",
)
quota_writes = _meter.create_counter(
    "hornbeamramp.quota.writes", "1", "Writes of a pool's allotments, by pool and outcome"
)
first_start_time = _meter.create_histogram(
    "hornbeamramp.job.first_start", "s", "Time from acceptance to the first start, by queue"
)
loop_lag = _meter.create_histogram(
    "hornbeamramp.loop.lag", "s", "Longest delay of a VM's event loop, each second"
)
