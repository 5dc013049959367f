"""Extracts the fields of a request that routing and admission use."""

from __future__ import annotations

import uuid
from dataclasses import dataclass

import xxhash

from rosemarydeal.core import SliceId, headers, slice_of
from rosemarydeal.core.request_key import KeyRule, request_key
from rosemarydeal.proxy import BadMessage, Request, find_header
from rosemarydeal.settings import (
    DeploymentSettings,
    Effective,
    HeaderKey,
    KeySource,
    QueryKey,
    SegmentKey,
    ServiceSettings,
)

__all__ = ["RequestDetails", "classify", "key_rule", "request_fingerprint"]

MAX_ID_BYTES = 256
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class RequestDetails:
    """Fields of a request that the policies use.

    Attributes:
        service: Service that the request is for.
        tenant: Tenant on whose behalf the request is made.
        key: The key, empty for a service without keys.
        slice: Base slice of the key, None for a service without keys.
        request_id: The caller's id, or a generated one.
        resent: Whether an earlier attempt with the id may have reached an upstream.
        id_age_s: Age of the id in seconds, None if the caller does not send it.
        idempotent: Whether the request may run more than once.
        deadline: Time after which the caller no longer waits for an answer.
        ticket: Token that the request's first attempt was bound to, if any.
        hops: Number of processes that forwarded the request.
    """

    service: str
    tenant: str
    key: str
    slice: SliceId | None
    request_id: str
    resent: bool
    id_age_s: float | None
    idempotent: bool
    deadline: float
    ticket: int | None
    hops: int


def classify(
    request: Request,
    service: ServiceSettings,
    deployment: DeploymentSettings,
    limits: Effective,
    arrived_at: float,
) -> RequestDetails:
    """Reads the fields for the policies from a request's line and headers.

    Args:
        request: The request.
        service: Settings of the service that the request is for.
        deployment: Settings of the deployment.
        limits: Settings of the service at the place of this process.
        arrived_at: Time of arrival, in seconds.

    Returns:
        The fields of the request.

    Raises:
        BadMessage: A header or the key is missing or malformed, or the
            tenant may not use the path.
    """
    target = request.target.decode("latin-1")
    method = request.method.decode("ascii")
    tenant = _tenant(request, deployment)
    if not service.admits(tenant, target):
        raise BadMessage(f"{tenant} may not use this path", "tenant-refused")
    key = _key(request, service.key) if service.key is not None else ""
    slice_id = slice_of(service.name, key, service.slices) if service.keyed else None
    request_id = _request_id(request)
    age_ms = _integer_header(request, headers.ID_AGE_MS)
    return RequestDetails(
        service=service.name,
        tenant=tenant,
        key=key,
        slice=slice_id,
        request_id=request_id or uuid.uuid4().hex,
        resent=bool(request_id) and not _is_first_attempt(request),
        id_age_s=None if age_ms is None else age_ms / MS_PER_S,
        idempotent=service.is_idempotent(method, target),
        deadline=arrived_at + _timeout_s(request, limits),
        ticket=_integer_header(request, headers.TICKET),
        hops=_integer_header(request, headers.HOPS) or 0,
    )


def request_fingerprint(request: Request, key: str, body: bytes) -> int:
    """Returns a hash of the request's content, without its id.

    A repeat of the request under another id has the same fingerprint.

    Args:
        request: The request.
        key: Its key.
        body: The first part of its body.

    Returns:
        A number from 0 to 2**63 - 1.
    """
    digest = xxhash.xxh3_64()
    for part in (request.method, request.target, key.encode("utf-8"), body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.intdigest() >> 1


def _tenant(request: Request, deployment: DeploymentSettings) -> str:
    """Returns the name of the tenant's class."""
    name = deployment.tenants.header.encode("latin-1")
    value = find_header(request.headers, name) if name else None
    text = value.decode("latin-1") if value is not None else None
    return deployment.tenants.classify(text).name


def _key(request: Request, source: KeySource) -> str:
    """Returns the key that a request carries."""
    key = request_key(key_rule(source), request.target, request.headers)
    if key is None:
        raise BadMessage("the request must contain exactly one key", "key-missing")
    return key


def key_rule(source: KeySource) -> KeyRule:
    """Returns the rule by which callers find a service's keys."""
    match source:
        case HeaderKey(header):
            return KeyRule(header=header)
        case SegmentKey(segment):
            return KeyRule(segment=segment)
        case QueryKey(parameter):
            return KeyRule(query=parameter)


def _request_id(request: Request) -> str:
    """Returns the caller's request id, empty without one."""
    value = find_header(request.headers, headers.IDEMPOTENCY_KEY) or b""
    if len(value) > MAX_ID_BYTES:
        raise BadMessage("the request id is too long", "bad-request")
    return value.decode("latin-1")


def _is_first_attempt(request: Request) -> bool:
    """Returns whether the caller marks the request as the first attempt of its id."""
    return find_header(request.headers, headers.ATTEMPT) == headers.ATTEMPT_FIRST


def _timeout_s(request: Request, limits: Effective) -> float:
    """Returns the time that the request may take, in seconds."""
    timeout_ms = _integer_header(request, headers.DEADLINE_MS)
    if timeout_ms is None:
        timeout_ms = limits.deadlines.default_ms
    return min(timeout_ms, limits.deadlines.max_ms) / MS_PER_S


def _integer_header(request: Request, name: bytes) -> int | None:
    """Returns the integer in a header, None without the header."""
    value = find_header(request.headers, name)
    if value is None:
        return None
    if not value.isdigit() or len(value) > 18:
        raise BadMessage(f"{name.decode('ascii')} is not an integer", "bad-request")
    return int(value)
