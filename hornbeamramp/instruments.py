"""Counters and histograms of an entry VM. Without a metric reader they record nothing."""

from opentelemetry import metrics

__all__ = [
    "advice_time",
    "commit_time",
    "first_start_time",
    "loop_lag",
    "preemptions",
    "request_time",
    "requests",
    "run_ends",
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
store_calls = _meter.create_counter(
    "hornbeamramp.store.operations", "1", "Store calls by operation, way and outcome"
)
commit_time = _meter.create_histogram(
    "hornbeamramp.commit.time", "s", "Time of a commit, with its repetitions"
)
takeovers = _meter.create_counter("hornbeamramp.takeovers", "1", "Pools taken over, by pool")
advice_time = _meter.create_histogram(
    "hornbeamramp.advice.time", "s", "Time from a question to its answer, waiting included"
)
starts = _meter.create_counter("hornbeamramp.run.starts", "1", "Start orders by reply")
run_ends = _meter.create_counter("hornbeamramp.run.ends", "1", "Ends of runs, by how")
preemptions = _meter.create_counter("hornbeamramp.preemptions", "1", "Runs stopped for others")
first_start_time = _meter.create_histogram(
    "hornbeamramp.job.first_start", "s", "Time from acceptance to the first start, by queue"
)
loop_lag = _meter.create_histogram(
    "hornbeamramp.loop.lag", "s", "Delay of the event loop of a pool's owner, each 250 ms"
)
