"""Plots of waiting time by job class under a flood."""

from pathlib import Path

from hornbeamramp.bench._shapes import JOB_CLASSES, SHAPES
from hornbeamramp.bench.figures import Options
from hornbeamramp.bench.flood import TIMES
from hornbeamramp.bench.runs import POLICIES, Run, run_all
from hornbeamramp.bench.tally import ClassTally, percentile

__all__ = ["FLOODS", "write_plots"]

FLOODS = (("kaya", "load_sort", 10.0), ("hsinchu", "render", 10.0))
"""Shape, flooding job class and factor of each plot."""

FLOOR_S = 0.001
COLOURS = {"default": "#1b6ca8", "fifo_first_fit": "#c8553d", "random": "#8a8d91"}


def write_plots(directory: Path, options: Options) -> list[Path]:
    """Writes one PNG for each flood and returns their paths.

    Raises ``OSError`` if the directory can't be written.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    directory.mkdir(parents=True, exist_ok=True)
    paths = []
    for shape, flooder, factor in FLOODS:
        warm, window, drain = (3, 3, 3) if options.quick else TIMES[shape]
        specs = [
            Run(
                shape, policy, options.seed, warm, window, drain, flooder=name, factor=factor * many
            )
            for name, many in (("", 0), (flooder, 1))
            for policy in POLICIES
        ]
        results = dict(zip(((s.flooder, s.policy) for s in specs), run_all(specs), strict=True))
        kinds = [n for n in JOB_CLASSES if n in {**SHAPES[shape].mix, **SHAPES[shape].services}]
        figure, axes = pyplot.subplots(figsize=(9, 4.5))
        width = 0.8 / len(POLICIES)
        for p, policy in enumerate(POLICIES):
            at = [n + (p - (len(POLICIES) - 1) / 2) * width for n in range(len(kinds))]
            p99 = {
                name: [
                    max(
                        FLOOR_S,
                        percentile(results[name, policy].by_class.get(k, ClassTally()).waits, 0.99),
                    )
                    for k in kinds
                ]
                for name in ("", flooder)
            }
            axes.bar(at, p99[flooder], width, color=COLOURS[policy], label=policy)
            axes.plot(at, p99[""], "_", color="black", markersize=9, label=None)
        axes.plot([], [], "_", color="black", markersize=9, label="without the flood")
        axes.set_yscale("log")
        axes.set_ylabel("p99 wait from submission to start (s)")
        axes.set_xticks(range(len(kinds)), [k.replace("_", "\n") for k in kinds], fontsize=8)
        axes.set_title(f"{shape}: {flooder} at {factor:.0f} times the fleet's capacity")
        axes.legend(fontsize=8)
        figure.tight_layout()
        path = directory / f"flood_{shape}_{flooder}.png"
        figure.savefig(path, dpi=120, metadata={"Software": None})
        pyplot.close(figure)
        paths.append(path)
    return paths
