"""The ASGI application that serves the metrics as Prometheus text."""

import typing
from collections import abc

from laburnumsill.core import metrics as metrics_module

PATH = "/metrics"


class MetricsApp:
    """Serves `GET /metrics`."""

    def __init__(self, metrics: metrics_module.Metrics) -> None:
        self._metrics = metrics

    async def __call__(
        self,
        scope: abc.Mapping[str, typing.Any],
        receive: abc.Callable[[], abc.Awaitable[typing.Any]],
        send: abc.Callable[[dict[str, typing.Any]], abc.Awaitable[None]],
    ) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        found = scope["path"] == PATH
        body, headers = self._metrics.render() if found else (b"", {})
        pairs = [
            (name.lower().encode(), value.encode())
            for name, value in headers.items()
        ]
        pairs.append((b"content-length", str(len(body)).encode()))
        await send(
            {
                "type": "http.response.start",
                "status": 200 if found else 404,
                "headers": pairs,
            }
        )
        await send({"type": "http.response.body", "body": body})
