"""Reads the wire's settings into those that the decisions use. Keys that are not known are skipped."""

from __future__ import annotations

from birchstack.interface import BINDING, NUMBERED, REPLAYABLE, DocumentType, Settings

EFFECTS = {"safe": REPLAYABLE, "keyed": NUMBERED, "unsafe": BINDING}


def _type(words: dict) -> DocumentType:
    return DocumentType(
        name=words["name"],
        effect=EFFECTS[words["effect"]],
        agreed_ms=words["objectiveMs"],
        expiry_ms=words["deadlineMs"],
        value=words["importance"],
        late_share=words.get("lateShare") or 0.0,
        one_zone=words.get("group", "all") != "all",
        window_ms=words.get("windowMs") or 0.0,
        in_order=bool(words.get("oneAtATime")),
    )


def decode(config: dict) -> Settings:
    """The wire's settings in this project's words."""
    domain, limits, rules = config["domain"], config["limits"], config["rules"]
    kinds = max(len(config.get("hostTypes", [])), 1)
    return Settings(
        types=tuple(_type(words) for words in config["services"]),
        slots=domain["callsOut"],
        max_held=limits["maxOpen"],
        max_transmissions=limits["sendCap"],
        senders=config["nInstances"],
        calls_per_connection=limits.get("streamsPerConn") or 1,
        per_call=tuple(domain.get("perCall") or [1] * kinds),
        routes_apart=tuple(domain.get("routesApart") or [False] * kinds),
        rates_listed=config.get("weightSource") in ("nominal", "rough"),
        list_on_request=config["registryMode"] == "on_request",
        retry_after_ms=limits.get("maxRetryAfterMs") or 0.0 if limits.get("retryAfter") else 0.0,
        cold_share=rules["coldFrom"],
        warm_up_ms=rules["warmUpMs"],
        key_rest_ms=rules.get("settleAfterDoubtMs") or 0.0,
        notes=bool(limits.get("mayTell")),
        list_every_ms=rules.get("askEveryMs") or 0.0,
        tenants=tuple((words["name"], float(words["quotaPerS"])) for words in config.get("tenants") or ()),
        over_share=config.get("overShareWorth", 1.0),
    )
