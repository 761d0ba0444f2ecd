"""What simulations of the decisions alone share: the settings of a thin fleet, a host that only listens."""

from __future__ import annotations

from birchstack import interface as our

AGREED_MS, EXPIRY_MS = 2_000.0, 20_000.0
COLD_SHARE, WARM_UP_MS = 0.3, 10_000.0


def settings(senders: int) -> our.Settings:
    """One type of document that may run twice; so many slots that none is waited for."""
    kind = our.DocumentType("sync", our.REPLAYABLE, AGREED_MS, EXPIRY_MS, 1.0, 0.4, False, 0.0, False)
    return our.Settings(
        types=(kind,),
        slots=512,
        max_held=100_000,
        max_transmissions=6,
        senders=senders,
        calls_per_connection=1,
        per_call=(1,),
        routes_apart=(False,),
        rates_listed=False,
        list_on_request=False,
        retry_after_ms=3000.0,
        cold_share=COLD_SHARE,
        warm_up_ms=WARM_UP_MS,
        key_rest_ms=1000.0,
        notes=False,
    )


class QuietHost:
    """An interface.Host that does nothing of what it is asked; who needs more overrides it."""

    def reject(self, doc_id: str, retry_after_ms: float) -> None:
        pass

    def abandon(self, doc_id: str) -> None:
        pass

    def close_idle(self, endpoint: str) -> None:
        pass

    def subscribe(self) -> None:
        pass

    def broadcast(self, note: str) -> None:
        pass

    def observed(self, endpoint: str, kind: our.SignalKind, wait_ms: float) -> None:
        pass

    def save_recovery(self, recovery: our.Recovery) -> None:
        pass

    def log(self, text: str) -> None:
        pass
