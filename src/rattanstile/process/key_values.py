"""Formats an event as one line of key=value pairs."""

_QUOTED_CHARACTERS = frozenset(' "=\n\r\t')


def key_values(event: str, **fields: object) -> str:
    """Return the event and its fields as one line of key=value pairs."""
    pairs = [f'event={event}']
    for name, value in fields.items():
        pairs.append(f'{name}={_quoted(str(value))}')
    return ' '.join(pairs)


def _quoted(text: str) -> str:
    if text and not _QUOTED_CHARACTERS.intersection(text):
        return text
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    return '"{0}"'.format(escaped.replace('\n', r'\n').replace('\r', r'\r'))
