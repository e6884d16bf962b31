"""Tables for people."""

__all__ = ["format_table"]

GAP = "  "


def format_table(heads: tuple[str, ...], rows: list[tuple]) -> str:
    """Return rows as columns of text."""
    texts = [heads, *[tuple(str(cell) for cell in row) for row in rows]]
    widths = [max(len(row[i]) for row in texts) for i in range(len(heads))]
    lines = [
        GAP.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in texts
    ]
    return "\n".join(line.rstrip() for line in lines)
