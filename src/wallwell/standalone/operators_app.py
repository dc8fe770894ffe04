"""The operators' listener: apply files, read back what is in force, metrics.

Owns the forms of its answers. Relies on the committer for changes and on the node for what is in force.
"""

from __future__ import annotations

import asyncio
import hmac

import msgspec
import yaml
from aiohttp import web

from wallwell.errors import (
    ConfigNotFoundError,
    MalformedRequestError,
    NotReadyError,
    UnauthenticatedError,
    WallwellError,
)
from wallwell.events import Event, emit
from wallwell.standalone.callers.context import NodeContext
from wallwell.standalone.cluster.messages import MemberStatus
from wallwell.standalone.config.commit import ApplyAnswer, ApplyRequest
from wallwell.standalone.config.schema import FileKey

MAX_BODY_BYTES = 4 * 1024 * 1024
"""Largest change, in bytes."""


class MemberView(msgspec.Struct, frozen=True):
    """One member in the status answer."""

    node: str
    zone: str
    status: str
    config_revision: int
    engines: int


class StatusAnswer(msgspec.Struct, frozen=True):
    """What one node knows of its region; ``regions`` gives other regions' configuration revisions."""

    node: str
    zone: str
    region: str
    ready: bool
    draining: bool
    config_revision: int
    in_flight: int
    members: tuple[MemberView, ...]
    regions: dict[str, int]


class FileView(msgspec.Struct, frozen=True):
    """One file in force; ``body`` is what the node holds, written as YAML."""

    key: str
    revision: int
    digest: str
    operator: str
    body: str


class OperatorError(msgspec.Struct, frozen=True):
    """Body of an error answered to an operator."""

    code: str
    error: str
    message: str


class OperatorsApp:
    """Operators' endpoints; every one but health needs the operators' token."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    def app(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(middlewares=[self._guard], client_max_size=MAX_BODY_BYTES)
        app.router.add_get("/healthz", self._health)
        app.router.add_post("/config/apply", self._apply)
        app.router.add_get("/config", self._files)
        app.router.add_get("/config/{kind}/{name}", self._file)
        app.router.add_get("/status", self._status)
        app.router.add_get("/metrics", self._metrics)
        return app

    @web.middleware
    async def _guard(self, request: web.Request, handler: object) -> web.StreamResponse:
        try:
            if request.path != "/healthz":
                self._authenticate(request)
            return await handler(request)  # type: ignore[operator, no-any-return]
        except WallwellError as error:
            body = _error_body(type(error), error.detail)
            return _operator_answer(body, error.http_status)

    def _authenticate(self, request: web.Request) -> None:
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        expected = self._context.settings.operator_token
        if scheme.lower() != "bearer" or not hmac.compare_digest(
            token.encode(errors="surrogateescape"), expected.encode()
        ):
            raise UnauthenticatedError("the operators' token is required")

    async def _health(self, _request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _apply(self, request: web.Request) -> web.Response:
        try:
            apply = msgspec.json.decode(await request.read(), type=ApplyRequest)
        except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
            return _operator_answer(
                _error_body(MalformedRequestError, str(error)), MalformedRequestError.http_status
            )
        try:
            answer = await self._commit(apply)
        except WallwellError as error:
            emit(Event.CONFIG_REFUSED, code=error.code, operator=apply.operator)
            raise
        emit(Event.CONFIG_ACCEPTED, file=answer.key, revision=answer.revision, operator=apply.operator)
        return _operator_answer(answer)

    async def _commit(self, apply: ApplyRequest) -> ApplyAnswer:
        """Commit a change; a planned stop waits for it, and begins none late. Raises :class:`WallwellError`."""
        context = self._context
        if context.refusing:
            raise NotReadyError("this router is stopping; apply the file at another one")
        return await asyncio.shield(context.spawn(context.committer.apply(apply)))

    async def _files(self, _request: web.Request) -> web.Response:
        store = self._context.node.config
        views = [self._view(key) for key in sorted(store.files)]
        return _operator_answer(views)

    async def _file(self, request: web.Request) -> web.Response:
        text = f"{request.match_info['kind']}/{request.match_info['name']}"
        try:
            key = FileKey.parse(text)
        except ValueError:
            raise ConfigNotFoundError(text) from None
        if key not in self._context.node.config.files:
            raise ConfigNotFoundError(text)
        return _operator_answer(self._view(key))

    def _view(self, key: FileKey) -> FileView:
        store = self._context.node.config
        entry = store.revisions[key]
        document = {"kind": key.kind.value, "name": key.name, "spec": msgspec.to_builtins(store.files[key].spec)}
        body = yaml.safe_dump(document, sort_keys=False)
        return FileView(str(key), entry.revision, entry.digest, entry.operator, body)

    async def _status(self, _request: web.Request) -> web.Response:
        context = self._context
        membership = context.node.membership
        own = MemberView(
            context.settings.node,
            context.settings.zone,
            MemberStatus.ALIVE.name.lower(),
            context.node.config.head,
            len(membership.own.record.engines),
        )
        members = [own]
        for name, member in sorted(membership.members.items()):
            members.append(
                MemberView(
                    name,
                    member.record.zone,
                    member.status.name.lower(),
                    member.load.config_head,
                    len(member.record.engines),
                )
            )
        answer = StatusAnswer(
            node=context.settings.node,
            zone=context.settings.zone,
            region=context.settings.region,
            ready=context.ready,
            draining=context.draining,
            config_revision=context.node.config.head,
            in_flight=context.in_flight,
            members=tuple(members),
            regions={name: each.config_head for name, each in context.node.regions.summaries.items()},
        )
        return _operator_answer(answer)

    async def _metrics(self, _request: web.Request) -> web.Response:
        self._context.metrics.config_revision.set(self._context.node.config.head)
        return web.Response(body=self._context.metrics.render(), content_type="text/plain")


def _error_body(error_type: type[WallwellError], detail: str) -> OperatorError:
    return OperatorError(error_type.code, error_type.__name__, detail)


def _operator_answer(value: object, status: int = 200) -> web.Response:
    return web.Response(body=msgspec.json.encode(value), status=status, content_type="application/json")
