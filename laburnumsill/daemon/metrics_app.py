"""The ASGI application that serves the metrics as Prometheus text."""

from laburnumsill.core import metrics as metrics_module
from laburnumsill.platform import http

PATH = "/metrics"


class MetricsApp:
    """Serves `GET /metrics`."""

    def __init__(self, metrics: metrics_module.Metrics) -> None:
        self._metrics = metrics

    async def __call__(
        self, scope: http.Scope, receive: http.Receive, send: http.Send
    ) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        if scope["path"] != PATH:
            await http.send_answer(send, http.Answer(404))
            return
        body, headers = self._metrics.render()
        kind = headers["Content-Type"]
        await http.send_answer(send, http.Answer(200, body, content_type=kind))
