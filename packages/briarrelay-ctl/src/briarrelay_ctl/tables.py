"""Formats tables as text."""

__all__ = ["format_table"]

COLUMN_GAP = "  "


def format_table(headers: tuple[str, ...], rows: list[tuple]) -> str:
    """Return a table with aligned columns.

    :param headers: names of the columns.
    :param rows: values of each row, as many as there are columns.
    """
    texts = [headers, *[tuple(str(cell) for cell in row) for row in rows]]
    widths = [max(len(row[i]) for row in texts) for i in range(len(headers))]
    lines = [
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        for row in texts
    ]
    return "\n".join(line.rstrip() for line in lines)
