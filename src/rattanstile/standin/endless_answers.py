"""Shapes of bytes without end with which a faulty target answers a call."""

from dataclasses import dataclass

from rattanstile.connection.http_messages import (
    encode_chunk,
    encode_response,
    encode_response_head,
)
from rattanstile.request.exchange import RawHeader

PART_BYTES = 16 * 1024
OTHER_CALL = ((b'request-id', b'of-an-earlier-call'),)
BODY_BYTES = 100 * 1024
_OK = 200
_FILL = b'x' * PART_BYTES
_CHUNK = encode_chunk(_FILL)


@dataclass(frozen=True, slots=True)
class EndlessAnswer:
    """Bytes that are written once, and those that follow for ever."""

    head: bytes
    part: bytes


def endless_answer(shape: str, signed: tuple[RawHeader, ...]) -> EndlessAnswer:
    """Return what to write.

    Args:
        shape: Where the bytes have no end.
        signed: Headers of a sound answer to the call.

    Raises:
        ValueError: No shape has this name.
    """
    chunked = encode_response_head(_OK, signed, None)
    whole = encode_response(_OK, signed, b'whole', closes=False)
    match shape:
        case 'body':
            return EndlessAnswer(chunked, _CHUNK)
        case 'after' | 'answers':
            part = _FILL if shape == 'after' else whole * 100
            return EndlessAnswer(whole, part)
        case 'extension' | 'trailer':
            body = encode_chunk(b'x' * BODY_BYTES)
            rest = b'1;' if shape == 'extension' else b'0\r\nx: '
            return EndlessAnswer(chunked + body + rest, _FILL)
        case 'unsigned' | 'unidentified' | 'other':
            headers = {'unsigned': signed[:1], 'other': OTHER_CALL}
            head = encode_response_head(_OK, headers.get(shape, ()), None)
            return EndlessAnswer(head, _CHUNK)
        case _:
            return _endless_head(shape)


def _endless_head(shape: str) -> EndlessAnswer:
    status = b'HTTP/1.1 200 '
    other = encode_response(_OK, OTHER_CALL, b'x' * 4000, closes=False)
    parts = {
        'garbage': (b'', b'\x00\xff' * PART_BYTES),
        'status': (status, _FILL),
        'header': (b'%sOK\r\nx: ' % status, _FILL),
        'headers': (b'%sOK\r\n' % status, b'x: y\r\n' * 1000),
        'interim': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 500),
        'others': (b'', other * 4),
    }
    if shape not in parts:
        raise ValueError(f'unknown shape {shape}; one of {tuple(parts)}')
    return EndlessAnswer(*parts[shape])
