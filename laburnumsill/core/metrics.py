"""Counters, gauges and histograms, rendered as Prometheus text.

The registry and its rendering are synchronous, so they run under any event
loop. Label values must be from bounded sets, such as client accounts, classes
and outcomes; keys, paths and ids must not be labels.
"""

import typing

import aioprometheus
from aioprometheus import renderer

LATENCY_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)
"""Upper bounds, in seconds, of the latency histograms."""


class Metrics:
    """The metrics of one daemon, each created on first use.

    Examples:
        >>> metrics = Metrics()
        >>> metrics.count("requests_total", outcome="answered")
        >>> "requests_total" in metrics.render()[0].decode()
        True
    """

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._metrics: dict[str, typing.Any] = {}

    def count(self, name: str, by: float = 1, **labels: str) -> None:
        """Adds `by` to a counter."""
        self._get(aioprometheus.Counter, name).add(labels, by)

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Sets a gauge to `value`."""
        self._get(aioprometheus.Gauge, name).set(labels, value)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Adds an observation to a latency histogram."""
        self._get(aioprometheus.Histogram, name).observe(labels, seconds)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Returns the text of all metrics and its HTTP headers."""
        return renderer.render(self._registry, [])

    def _get(self, kind: type, name: str) -> typing.Any:
        metric = self._metrics.get(name)
        if metric is not None:
            return metric
        full = f"laburnumsill_{name}"
        doc = name.replace("_", " ")
        if kind is aioprometheus.Histogram:
            metric = kind(
                full,
                doc,
                buckets=list(LATENCY_BUCKETS_S),
                registry=self._registry,
            )
        else:
            metric = kind(full, doc, registry=self._registry)
        self._metrics[name] = metric
        return metric
