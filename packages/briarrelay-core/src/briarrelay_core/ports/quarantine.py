"""Messages between the core and the quarantined contents in the platform's store."""

from attrs import frozen

__all__ = ["QuarantineRecord", "QuarantineWritten", "WriteQuarantine"]


@frozen(slots=True, kw_only=True)
class QuarantineRecord:
    """What the store holds of a quarantined content.

    A reader counts the duration from its own reading, since clocks differ.

    :param duration_s: seconds for which the writer keeps the content quarantined after
        the last request with it.
    :param written_at: Unix seconds by the writer's clock, for operators only.
    :param is_released: an operator ends the quarantine.
    """

    duration_s: float
    written_at: float
    is_released: bool = False


@frozen(slots=True)
class WriteQuarantine:
    """Effect: write a quarantined content to the store, or delete it.

    :param record: None to delete the content.
    """

    content: str
    record: QuarantineRecord | None


@frozen(slots=True)
class QuarantineWritten:
    """Response to WriteQuarantine.

    :param is_done: False if it failed, or if it is unknown whether it was written.
    :param era: era of the store, None if it does not report one.
    """

    content: str
    is_done: bool
    era: int | None = None
