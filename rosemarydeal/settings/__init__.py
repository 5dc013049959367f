"""Settings files: parsing, validation, inheritance and comparison."""

from .compare import SettingChange, compare_settings
from .deployment import (
    DEFAULT_TENANT,
    DeploymentSettings,
    ExplainedSetting,
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
    effective_settings,
    explain_settings,
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
from .scope import WHOLE_DEPLOYMENT, Branch, Scope
from .transition import UNSAFE_CHANGE, check_transition
from .values import Leaf, parse_address

__all__ = [
    "DEFAULT_TENANT",
    "UNSAFE_CHANGE",
    "WHOLE_DEPLOYMENT",
    "Branch",
    "ColdStart",
    "ConfigEnvelope",
    "Deadlines",
    "DeploymentSettings",
    "Effective",
    "ExplainedSetting",
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
    "SettingChange",
    "TenantClass",
    "TenantSettings",
    "canonical_path",
    "check_transition",
    "compare_settings",
    "decode_envelope",
    "effective_settings",
    "encode_envelope",
    "explain_settings",
    "load_deployment",
    "load_envelope",
    "load_node",
    "parse_address",
]
