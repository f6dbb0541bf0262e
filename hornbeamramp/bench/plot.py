"""Plots of waiting time by job class under a flood."""

from pathlib import Path

from hornbeamramp.bench._shapes import JOB_CLASSES, SHAPES
from hornbeamramp.bench.figures import Options
from hornbeamramp.bench.flood import PHASES_S
from hornbeamramp.bench.runs import POLICIES, RunSpec, run_all
from hornbeamramp.bench.tally import ClassTally, percentile

__all__ = ["FLOODS", "write_plots"]

FLOODS = (("kaya", "load_sort", 10.0), ("hsinchu", "render", 10.0))
"""Shape, flooding job class and multiple of the fleet's capacity of each plot."""

MIN_PLOTTED_WAIT_S = 0.001
COLOUR_BY_POLICY = {"default": "#1b6ca8", "fifo_first_fit": "#c8553d", "random": "#8a8d91"}


def write_plots(directory: Path, options: Options) -> list[Path]:
    """Writes one PNG for each flood and returns their paths.

    Raises ``OSError`` if the directory can't be written.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    directory.mkdir(parents=True, exist_ok=True)
    paths = []
    for shape, flood_class, factor in FLOODS:
        warmup_s, window_s, drain_s = (3, 3, 3) if options.quick else PHASES_S[shape]
        specs = [
            RunSpec(
                shape,
                policy,
                options.seed,
                warmup_s,
                window_s,
                drain_s,
                flood_class=name,
                factor=factor * multiplier,
            )
            for name, multiplier in (("", 0), (flood_class, 1))
            for policy in POLICIES
        ]
        observations_by_run = dict(
            zip(((s.flood_class, s.policy) for s in specs), run_all(specs), strict=True)
        )
        class_names = [
            n for n in JOB_CLASSES if n in {**SHAPES[shape].mix, **SHAPES[shape].services}
        ]
        figure, axes = pyplot.subplots(figsize=(9, 4.5))
        width = 0.8 / len(POLICIES)
        for p, policy in enumerate(POLICIES):
            positions = [n + (p - (len(POLICIES) - 1) / 2) * width for n in range(len(class_names))]
            p99 = {
                name: [
                    max(
                        MIN_PLOTTED_WAIT_S,
                        percentile(
                            observations_by_run[name, policy]
                            .by_class.get(class_name, ClassTally())
                            .waits,
                            0.99,
                        ),
                    )
                    for class_name in class_names
                ]
                for name in ("", flood_class)
            }
            axes.bar(
                positions, p99[flood_class], width, color=COLOUR_BY_POLICY[policy], label=policy
            )
            axes.plot(positions, p99[""], "_", color="black", markersize=9, label=None)
        axes.plot([], [], "_", color="black", markersize=9, label="without the flood")
        axes.set_yscale("log")
        axes.set_ylabel("p99 wait from submission to start (s)")
        axes.set_xticks(
            range(len(class_names)),
            [class_name.replace("_", "\n") for class_name in class_names],
            fontsize=8,
        )
        axes.set_title(f"{shape}: {flood_class} at {factor:.0f} times the fleet's capacity")
        axes.legend(fontsize=8)
        figure.tight_layout()
        path = directory / f"flood_{shape}_{flood_class}.png"
        figure.savefig(path, dpi=120, metadata={"Software": None})
        pyplot.close(figure)
        paths.append(path)
    return paths
