"""Values that another writer may store where registrations are expected."""

import json

# A JSON text in place of a field's value, by name.
FRAGMENTS = {
    "many_digits": b"9" * 5000,
    "large_exponent": b"1e999",
    "deep_lists": b"[" * 100_000 + b"]" * 100_000,
    "deep_objects": b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    "no_text": b'"\xff\xfe"',
    "lone_surrogate": b'"\\ud800"',
    "long_text": b'"' + b"x" * 200_000 + b'"',
    "null": b"null",
}
# Addresses in place of a valid one, by name.
ADDRESSES = {
    "port_of_many_digits": "127.0.0.1:" + "9" * 5000,
    "port_of_other_digits": "127.0.0.1:\u0661\u0662",
    "scope_with_nul": "fe80::1%\0:80",
    "long_scope": "fe80::1%" + "x" * 5000 + ":80",
}
# Whole values, by name.
TEXTS = {
    "empty": b"",
    "binary": bytes(range(256)),
    "list": b"[]",
    "cut": b'{"service": "ser',
}
FORMS = (
    *(f"field {name}" for name in FRAGMENTS),
    *(f"unknown {name}" for name in FRAGMENTS),
    *(f"address {name}" for name in ADDRESSES),
    *(f"value {name}" for name in TEXTS),
)


def with_field(
    document: dict[str, object], field: str, fragment: bytes
) -> bytes:
    """Returns a JSON document with a text in place of one field's value."""
    mark = "the only text of its kind"
    text = json.dumps({**document, field: mark}).encode()
    return text.replace(json.dumps(mark).encode(), fragment)


def foreign_value(form: str, document: dict[str, object], field: str) -> bytes:
    """Returns a value of one of the forms.

    Args:
      form: one of `FORMS`.
      document: a valid registration.
      field: the field that is replaced by forms that replace one.
    """
    kind, _, name = form.partition(" ")
    if kind == "value":
        return TEXTS[name]
    if kind == "address":
        return json.dumps({**document, "address": ADDRESSES[name]}).encode()
    if kind == "unknown":
        field = "other"
    return with_field(document, field, FRAGMENTS[name])
