"""Converts the settings as received over the wire into interface.Settings. Unknown keys are ignored."""

from __future__ import annotations

from birchstack.interface import BINDING, NUMBERED, REPLAYABLE, DocumentType, Settings

EFFECTS = {"safe": REPLAYABLE, "keyed": NUMBERED, "unsafe": BINDING}


def _document_type(fields: dict) -> DocumentType:
    return DocumentType(
        name=fields["name"],
        effect=EFFECTS[fields["effect"]],
        agreed_ms=fields["objectiveMs"],
        expiry_ms=fields["deadlineMs"],
        value=fields["importance"],
        late_share=fields.get("lateShare") or 0.0,
        one_zone=fields.get("group", "all") != "all",
        window_ms=fields.get("windowMs") or 0.0,
        in_order=bool(fields.get("oneAtATime")),
    )


def decode(config: dict) -> Settings:
    """Returns the settings that a configuration in the wire format describes."""
    domain, limits, rules = config["domain"], config["limits"], config["rules"]
    kinds = max(len(config.get("hostTypes", [])), 1)
    return Settings(
        types=tuple(_document_type(fields) for fields in config["services"]),
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
        tenants=tuple((fields["name"], float(fields["quotaPerS"])) for fields in config.get("tenants") or ()),
        over_share=config.get("overShareWorth", 1.0),
    )
