"""How long a keeper's question was on its way, without clocks that agree.

Pure. A question repeats the sender's own steady clock from its last answer, with the time that the keeper
held it. What is missing up to now was spent on the way of the two, or lay unread while the sender stood
still.
"""

from __future__ import annotations

from birchstack.signals.model import Question

MOST_DELAY_MS = 1000.0  # a question that was on its way longer is old: what it says is not believed


def delay_ms(question: Question, life: str, clock_ms: float) -> float | None:
    """None where the question is too old, or was meant for another process."""
    if question.life != life:
        return None
    delay = clock_ms - question.clock_ms - question.held_ms
    return max(0.0, delay) if delay <= MOST_DELAY_MS else None
