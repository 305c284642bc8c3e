"""A client that calls an ASGI application without a socket."""

import dataclasses
import json
import typing


@dataclasses.dataclass
class Answer:
    status: int
    headers: dict[str, str]
    body: typing.Any


class Caller:
    """Sends requests to an ASGI application and returns its answers."""

    def __init__(self, app):
        self._app = app

    async def call(self, method, target, body=None, headers=None):
        path, _, query = target.partition("?")
        raw = b"" if body is None else json.dumps(body).encode()
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "raw_path": path.encode(),
            "root_path": "",
            "query_string": query.encode(),
            "headers": [
                (name.lower().encode(), value.encode())
                for name, value in (headers or {}).items()
            ],
        }
        sent = []

        async def receive():
            return {"type": "http.request", "body": raw, "more_body": False}

        async def send(message):
            sent.append(message)

        await self._app(scope, receive, send)
        content = b"".join(part.get("body", b"") for part in sent[1:])
        answer_headers = {
            name.decode(): value.decode() for name, value in sent[0]["headers"]
        }
        return Answer(sent[0]["status"], answer_headers, json.loads(content))
