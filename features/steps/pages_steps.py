"""Steps that compare the reference pages with the code."""

from pathlib import Path

from behave import then

from features.support import documentation_rows

_DOCS = Path(__file__).parents[2] / "docs"
_ROOT_TYPES = {
    "settings": documentation_rows.SETTINGS_TYPE,
    "configuration": documentation_rows.CONFIGURATION_TYPE,
}


def _compare(*, page, code):
    """Compares the rows without the page's last column, the description."""
    documented_rows = [row[:-1] for row in page]
    for row in code:
        assert row in documented_rows, f"not on the page: {row}"
    for row in documented_rows:
        assert row in code, f"not in the code: {row}"
    assert len(documented_rows) == len(code), "a row occurs twice"
    for row in page:
        assert row[-1], f"no description for {row[0]}"


@then('the table "{heading}" of SETTINGS.md has just the keys of the {part}')
def step_settings(context, heading, part):
    text = (_DOCS / "SETTINGS.md").read_text(encoding="utf-8")
    page = documentation_rows.page_rows(text, heading=heading)
    for index, row in enumerate(page):
        page[index] = (row[0].strip("`"), *row[1:])
    _compare(page=page, code=documentation_rows.setting_rows(_ROOT_TYPES[part]))


@then("the table of ERRORS.md has just the rows of the error table")
def step_errors(context):
    text = (_DOCS / "ERRORS.md").read_text(encoding="utf-8")
    page = documentation_rows.page_rows(text, heading="## The table")
    for index, row in enumerate(page):
        page[index] = (row[0].strip("`"), *row[1:])
    _compare(page=page, code=documentation_rows.error_rows())
