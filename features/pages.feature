Feature: The pages agree with the code

  # Guards against a key on the page that the daemon refuses, because a key,
  # default or limit changed in the code alone.
  Scenario Outline: Each key, type, unit, default and range is on the page
    Then the table "<heading>" of SETTINGS.md has just the keys of the <part>

    Examples:
      | heading                         | part          |
      | ## The settings file            | settings      |
      | ## The deployment configuration | configuration |

  Scenario: Each error kind is on the page
    Then the table of ERRORS.md has just the rows of the error table
