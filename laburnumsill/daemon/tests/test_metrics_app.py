"""The paths and headers of the metrics application."""

import pytest

from laburnumsill.core import metrics
from laburnumsill.daemon import metrics_app


@pytest.mark.parametrize(
    ("path", "status", "kind"),
    [
        ("/metrics", 200, b"text/plain; version=0.0.4; charset=utf-8"),
        ("/other", 404, b"application/json"),
    ],
)
async def test_only_the_metrics_path_is_served(path, status, kind):
    registry = metrics.Metrics()
    registry.count("jobs_total", queue="urgent")
    sent = []

    async def send(message):
        sent.append(message)

    app = metrics_app.MetricsApp(registry)
    await app({"type": "http", "path": path}, None, send)
    start, body = sent
    assert start["status"] == status
    assert (b"content-type", kind) in start["headers"]
    assert (b"jobs_total" in body["body"]) == (status == 200)
    length = str(len(body["body"])).encode()
    assert (b"content-length", length) in start["headers"]
