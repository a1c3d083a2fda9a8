"""Measures and plots the cost slopes that docs/CAPACITY.md reports.

`make capacity` runs this module. It writes `docs/capacity/slopes.json` and one
plot for each slope.
"""

import dataclasses
import json
import pathlib

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from sycamoreloft_proof import _capacity_holder, _capacity_models, _slopes

#: Folder for the results, relative to the root of the repository.
RESULTS_FOLDER = pathlib.Path("docs/capacity")


def draw_slope(slope: _slopes.Slope, path: pathlib.Path) -> None:
    """Plots the measured values and the fitted line to a file."""
    figure, axes = pyplot.subplots(figsize=(5, 3.2))
    axes.plot(slope.sizes, slope.values, "o", label="measured")
    end_sizes = [0.0, max(slope.sizes)]
    axes.plot(
        end_sizes, [slope.predict(size) for size in end_sizes], "-", label="fit"
    )
    axes.set_xlabel(slope.size_of)
    axes.set_ylabel(f"{slope.name} ({slope.unit})")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90, metadata={"Software": None})
    pyplot.close(figure)


def main() -> None:
    """Measures every slope, prints it and writes the results and plots."""
    RESULTS_FOLDER.mkdir(parents=True, exist_ok=True)
    results = []
    measurements = (
        *_capacity_models.MEASUREMENTS,
        *_capacity_holder.MEASUREMENTS,
    )
    for measure in measurements:
        slope = measure()
        results.append(dataclasses.asdict(slope))
        draw_slope(slope, RESULTS_FOLDER / f"{slope.name}.png")
        print(
            f"{slope.name:22} {slope.fixed:12.4g} + {slope.per_unit:10.4g}"
            f" {slope.unit} per {slope.size_of}, error {slope.error:.1%}",
            flush=True,
        )
    (RESULTS_FOLDER / "slopes.json").write_text(
        json.dumps(results, indent=1) + "\n"
    )


if __name__ == "__main__":
    main()
