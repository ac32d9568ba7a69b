"""Quantiles of samples."""


def quantile(figures: list[float], share: float) -> float:
    """Return the quantile of `figures` at `share`, from 0 to 1; zero if there are none."""
    if not figures:
        return 0
    ordered = sorted(figures)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
