"""Parameter types of steps."""

from behave import register_type
import parse


@parse.with_pattern(r".*")
def _parse_maybe_empty(text):
    return text


register_type(Maybe=_parse_maybe_empty)
