"""Reads, checks and inherits settings."""

from .compare import Change, compare
from .deployment import (
    DEFAULT_TENANT,
    DeploymentSettings,
    Explained,
    HeaderKey,
    IdempotencyRule,
    KeySource,
    QueryKey,
    Region,
    Restriction,
    SegmentKey,
    ServiceSettings,
    TenantClass,
    TenantSettings,
    effective,
    explain,
)
from .envelope import (
    ConfigEnvelope,
    HistoryEntry,
    decode_envelope,
    encode_envelope,
    load_envelope,
)
from .leaves import (
    ColdStart,
    Deadlines,
    Effective,
    Hedging,
    Ledger,
    Limits,
    Moves,
    Ownership,
    Retries,
)
from .load import load_deployment
from .node import NodeSettings, Seed, load_node
from .patterns import PathPattern, canonical_path
from .problems import Problem, ProblemCode
from .scope import ANYWHERE, Branch, Scope
from .transition import UNSAFE_CHANGE, check_transition
from .values import Leaf, parse_address

__all__ = [
    "ANYWHERE",
    "DEFAULT_TENANT",
    "UNSAFE_CHANGE",
    "Branch",
    "Change",
    "ColdStart",
    "ConfigEnvelope",
    "Deadlines",
    "DeploymentSettings",
    "Effective",
    "Explained",
    "HeaderKey",
    "Hedging",
    "HistoryEntry",
    "IdempotencyRule",
    "KeySource",
    "Leaf",
    "Ledger",
    "Limits",
    "Moves",
    "NodeSettings",
    "Ownership",
    "PathPattern",
    "Problem",
    "ProblemCode",
    "QueryKey",
    "Region",
    "Restriction",
    "Retries",
    "Scope",
    "Seed",
    "SegmentKey",
    "ServiceSettings",
    "TenantClass",
    "TenantSettings",
    "canonical_path",
    "check_transition",
    "compare",
    "decode_envelope",
    "effective",
    "encode_envelope",
    "explain",
    "load_deployment",
    "load_envelope",
    "load_node",
    "parse_address",
]
