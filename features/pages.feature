Feature: The pages agree with the code

  # Symptom: an operator sets a key by the page, and the daemon refuses it.
  # Sequence: a key, default or limit changes in the code alone. Cause: a page
  # that nothing compares with the code.
  Scenario Outline: Each key, type, unit, default and range is on the page
    Then the table "<heading>" of SETTINGS.md has just the keys of the <part>

    Examples:
      | heading                         | part          |
      | ## The settings file            | settings      |
      | ## The deployment configuration | configuration |

  Scenario: Each error kind is on the page
    Then the table of ERRORS.md has just the rows of the error table
