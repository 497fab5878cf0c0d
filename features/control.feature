Feature: The operators' command-line tool

  Background:
    Given an entry at version 7 of the Tallow Brae configuration

  Scenario: The configuration is shown as TOML, what is not known beside it
    When the operator runs `config show`
    Then the exit code is 0
    And the output is the configuration
    And the notes say "version 7 by ann"
    And the notes say "in force on e2: unknown"

  Scenario: The configuration as JSON
    When the operator runs `config show --json`
    Then the exit code is 0
    And the output is JSON with "version" as 7

  Scenario: Differences are shown by line and by key
    Given the file new.toml holds the configuration with slots = 3 as slots = 4
    When the operator runs `config diff new.toml`
    Then the exit code is 0
    And the output says "+slots = 4"
    When the operator runs `config diff new.toml --json`
    Then the output is JSON with "changed" as ["upstreams.matching-se1-1.slots"]

  Scenario: An entry checks a configuration too
    Given the file new.toml holds the configuration with slots = 3 as slots = 4
    And the entry answers "POST /v1/configuration/check" with
      """
      {"valid": true}
      """
    When the operator runs `config check new.toml --remote`
    Then the exit code is 0
    And "POST /v1/configuration/check" was sent 1 times

  Scenario: The history is listed
    Given the entry answers "GET /v1/configuration/history" with
      """
      {"versions": [{"version": 7, "edit_id": "edit-1", "author": "ann",
                     "edited_at": "2026-01-01T00:00:00Z"}]}
      """
    When the operator runs `config history`
    Then the exit code is 0
    And the row of "7" reads "2026-01-01T00:00:00Z | ann | edit-1"

  Scenario: An edit waits until it is in force everywhere
    Given the entry answers "POST /v1/configuration" with status 202 and
      """
      {"kind": "edit_pending", "version": 8, "lacking": ["e2"], "detail": ""}
      """
    And every edit asked for is first pending and then accepted as version 8
    When the operator runs `profile set local headroom_fraction 0.3`
    Then the exit code is 0
    And the notes say "not yet known in force on: e2"
    And the output says "accepted: version 8"
    And the edit that was sent has base version 7 and changes "profiles.local.headroom_fraction"

  Scenario: An edit that is not in force in time is said to be pending
    Given the entry answers "POST /v1/configuration" with status 202 and
      """
      {"kind": "edit_pending", "version": 8, "lacking": ["e2"], "detail": ""}
      """
    When the operator runs `profile assign matching local --wait_s=0 --json`
    Then the exit code is 7
    And the error kind is "edit_pending"
    And the output is JSON with "lacking" as ["e2"]
    And the edit that was sent has base version 7 and changes "services.matching.profile"

  # Guards against an operator's change that is lost without notice. Two
  # operators read the same version and both write; a write without its base
  # version overwrites the other.
  Scenario: The loser of a race is told what changed
    Given the file new.toml holds the configuration with slots = 3 as slots = 4
    And the entry answers "POST /v1/configuration" with status 409 and
      """
      {"kind": "edit_conflict", "changed": ["profiles.local.policy"],
       "detail": "version 8 by ann came first; it changed profiles.local.policy"}
      """
    When the operator runs `config edit new.toml --base_version=7`
    Then the exit code is 6
    And the notes say "it changed profiles.local.policy"
    And the notes say "Nothing of this edit was stored"
    When the operator runs `config edit new.toml --base_version=7 --json`
    Then the exit code is 6
    And the output is JSON with "changed" as ["profiles.local.policy"]

  Scenario: A faulty edit is refused before it is sent
    When the operator runs `profile set local headroom_fraction 3 --json`
    Then the exit code is 9
    And the error kind is "configuration_invalid"
    And the output says "profiles.local.headroom_fraction"
    And "POST /v1/configuration" was sent 0 times

  # Guards against an edit that is applied twice, or that undoes a later one.
  # The edit takes effect, its response is lost, and the tool sends it again. A
  # lost response was taken for a failed write.
  Scenario: A lost answer is not a lost edit
    Given the entry loses its answer to "POST /v1/configuration"
    And the fate of every edit is accepted as version 8
    When the operator runs `profile assign matching spread`
    Then the exit code is 0
    And the output says "accepted: version 8"
    And "POST /v1/configuration" was sent 1 times

  Scenario: An edit of unknown fate is said so, with the way to ask later
    Given the entry loses its answer to "POST /v1/configuration"
    When the operator runs `profile assign matching spread`
    Then the exit code is 8
    And the notes say "edit_unknown"
    And the notes say "almondstairctl edit status edit-"
    And "POST /v1/configuration" was sent 1 times

  Scenario Outline: The fate of an edit is asked by its id
    Given the entry answers "GET /v1/edits/edit-5" with
      """
      {"edit_id": "edit-5", "state": "<state>", "version": 8, "lacking": <lacking>}
      """
    When the operator runs `edit status edit-5`
    Then the exit code is <code>

    Examples:
      | state    | lacking | code |
      | accepted | []      | 0    |
      | pending  | ["e2"]  | 7    |

  Scenario: An edit that nobody knows
    When the operator runs `edit status edit-5 --json`
    Then the exit code is 10
    And the error kind is "not_found"

  Scenario: The platform's outage is said in clear words
    Given the entry answers "POST /v1/marks" with status 503 and
      """
      {"kind": "platform_unavailable", "detail": "no answer in 500 ms"}
      """
    When the operator runs `vm leave matching-se1-1`
    Then the exit code is 11
    And the notes say "The entries go on with the configuration in force"

  Scenario: A leaving VM is watched until its work is done
    Given the entry answers "POST /v1/marks" with
      """
      {"edit_id": "edit-3", "version": 8, "state": "accepted"}
      """
    And the entry answers "GET /v1/drains/matching-se1-1" with
      """
      {"name": "matching-se1-1", "home": "e1", "home_address": "ENTRY", "leaving": true,
       "in_flight": 2, "last_new_work_age_s": 0.5}
      """
    And the entry answers "GET /v1/drains/matching-se1-1" with
      """
      {"name": "matching-se1-1", "home": "e1", "home_address": "ENTRY", "leaving": true,
       "in_flight": 0, "last_new_work_age_s": 1.0}
      """
    When the operator runs `vm leave matching-se1-1`
    Then the exit code is 0
    And the mark that was sent is "matching-se1-1" with leaving true
    And the notes say "work left 2, last new work 0.5 s ago"
    And the output says "matching-se1-1 has no work left after"

  # Guards against a VM that is stopped with requests in flight. Its home entry
  # dies during the drain, so nobody knows what runs there. The tool treated
  # unknown as zero.
  Scenario: Unknown work is not a finished drain
    Given the entry answers "POST /v1/marks" with
      """
      {"edit_id": "edit-3", "version": 8, "state": "accepted"}
      """
    And the entry answers "GET /v1/drains/matching-se1-1" with
      """
      {"name": "matching-se1-1", "home": "e1", "home_address": "ENTRY", "leaving": true,
       "in_flight": null, "last_new_work_age_s": null}
      """
    When the operator runs `vm leave matching-se1-1 --wait_s=0.6`
    Then the exit code is 7
    And the notes say "work left unknown, last new work unknown"

  Scenario: A VM comes back
    Given the entry answers "POST /v1/marks" with
      """
      {"edit_id": "edit-4", "version": 9, "state": "accepted"}
      """
    And the entry answers "GET /v1/drains/matching-se1-1" with
      """
      {"name": "matching-se1-1", "home": "e1", "home_address": "ENTRY", "leaving": false,
       "in_flight": 0, "last_new_work_age_s": null}
      """
    When the operator runs `vm return matching-se1-1`
    Then the exit code is 0
    And the mark that was sent is "matching-se1-1" with leaving false
    And the output says "takes work again"

  # Guards against a drain that seems never to end. The operator asks an entry
  # that is not the upstream's home, and only the home knows what runs.
  Scenario: The work left is asked of the home
    Given another entry
    And the entry answers "POST /v1/marks" with
      """
      {"edit_id": "edit-3", "version": 8, "state": "accepted"}
      """
    And the entry answers "GET /v1/drains/matching-se1-1" with
      """
      {"name": "matching-se1-1", "home": "e2", "home_address": "OTHER",
       "leaving": true, "in_flight": null, "last_new_work_age_s": null}
      """
    And the other entry answers "GET /v1/drains/matching-se1-1" with
      """
      {"name": "matching-se1-1", "home": "e2", "home_address": "OTHER",
       "leaving": true, "in_flight": 0, "last_new_work_age_s": 2.0}
      """
    When the operator runs `vm leave matching-se1-1`
    Then the exit code is 0

  Scenario: A mark that another edit came before is sent again
    Given the entry answers "POST /v1/marks" with status 409 and
      """
      {"kind": "edit_conflict", "changed": ["profiles.local.policy"], "detail": ""}
      """
    And the entry answers "POST /v1/marks" with
      """
      {"edit_id": "edit-4", "version": 9, "state": "accepted"}
      """
    And the entry answers "GET /v1/drains/matching-se1-1" with
      """
      {"name": "matching-se1-1", "home": "e1", "home_address": "ENTRY",
       "leaving": true, "in_flight": 0, "last_new_work_age_s": 2.0}
      """
    When the operator runs `vm leave matching-se1-1`
    Then the exit code is 0
    And "POST /v1/marks" was sent 2 times

  # Guards against a lost region that looks idle. Its entries no longer answer,
  # and their last report is shown. Silence was taken for low load.
  Scenario: The status never shows what is unknown as calm
    Given another entry
    And the entry answers "GET /v1/status" with
      """
      {"entry": "e1", "epoch": 4,
       "entries": [
         {"name": "e1", "region": "r1", "availability_zone": "z1",
          "operator_address": "ENTRY",
          "heard_age_s": 0.0, "leaving": false, "config_version": 7},
         {"name": "e2", "region": "r1", "availability_zone": "z1",
          "operator_address": "OTHER",
          "heard_age_s": 0.2, "leaving": true, "config_version": 6},
         {"name": "e3", "region": "r2", "availability_zone": "z3",
          "operator_address": "127.0.0.1:1",
          "heard_age_s": null, "leaving": false, "config_version": null},
         {"name": "e4", "region": "r2", "availability_zone": "z3",
          "operator_address": "127.0.0.1:2",
          "heard_age_s": 9.0, "leaving": false, "config_version": 7}],
       "upstreams": [
         {"name": "u1", "region": "r1", "home": "e1", "slots": 3, "busy": 1,
          "state": "in use", "report_age_s": 0.1, "in_flight": 1},
         {"name": "u2", "region": "r1", "home": "e2", "slots": 3, "busy": null,
          "state": "elsewhere", "report_age_s": null, "in_flight": null},
         {"name": "u3", "region": "r2", "home": "e3", "slots": 3, "busy": 0,
          "state": "in use", "report_age_s": 0.1, "in_flight": 0},
         {"name": "u4", "region": "r1", "home": "e1", "slots": 3, "busy": 0,
          "state": "in use", "report_age_s": 8.0, "in_flight": 0}],
       "regions": [
         {"name": "r1", "slots": 8, "free": 2, "report_age_s": 0.1},
         {"name": "r2", "slots": 6, "free": 6, "report_age_s": null}],
       "links": [
         {"availability_zone": "z1", "region": "r1", "cap_bytes_per_s": 1000000,
          "used_bytes_per_s": 250000, "share_bytes_per_s": 500000}]}
      """
    And the other entry answers "GET /v1/status" with
      """
      {"entry": "e2", "epoch": 4, "entries": [],
       "upstreams": [
         {"name": "u1", "region": "r1", "home": "e1", "slots": 3, "busy": null,
          "state": "elsewhere", "report_age_s": null, "in_flight": null},
         {"name": "u2", "region": "r1", "home": "e2", "slots": 3, "busy": 2,
          "state": "in use", "report_age_s": 0.3, "in_flight": 2}],
       "regions": [],
       "links": [
         {"availability_zone": "z1", "region": "r1", "cap_bytes_per_s": 1000000,
          "used_bytes_per_s": 350000, "share_bytes_per_s": 500000},
         {"availability_zone": "z3", "region": "r2", "cap_bytes_per_s": 1000000,
          "used_bytes_per_s": 350000, "share_bytes_per_s": 500000}]}
      """
    When the operator runs `status`
    Then the exit code is 0
    And the row of "e1" reads "r1 | z1 | yes | 0.0 s ago |  | 7"
    And the row of "e2" reads "r1 | z1 | yes | 0.2 s ago | yes | 6"
    And the row of "e3" reads "r2 | z3 | NO | no word |  | unknown"
    And the row of "e4" reads "r2 | z3 | NO | silent for 9.0 s |  | 7"
    And the row of "u1" reads "r1 | e1 | in use | 1 | 3 | 1 | 0.1 s"
    And the row of "u2" reads "r1 | e2 | in use | 2 | 3 | 2 | 0.3 s"
    And the row of "u3" reads "r2 | e3 | unknown | unknown | 3 | unknown | unknown"
    And the row of "u4" reads "r1 | e1 | unknown | unknown | 3 | 0 | stale, 8.0 s"
    And the row of "r1" reads "8 | 2 | 25% | 0.1 s"
    And the row of "r2" reads "6 | unknown | unknown | unknown"
    And the row of "z1" reads "r1 | 1.00 | 0.60 | 40% | 1.00"
    And the row of "z3" reads "r2 | 1.00 | unknown | unknown | 0.50"
    And the notes say "127.0.0.1:1 does not answer"
    When the operator runs `status --json`
    Then the output is JSON with "epoch" as 4

  Scenario: Profiles are listed with their services
    When the operator runs `profile list --json`
    Then the exit code is 0
    And the output says ""services": "matching, intake""

  Scenario: A silent entry is named and another one asked
    When the operator runs `config show` with a silent entry named first
    Then the exit code is 0
    And the output is the configuration
    And the notes say "127.0.0.1:1 does not answer"

  Scenario: When no entry answers, that is the answer
    When the operator runs `status` against a silent entry
    Then the exit code is 12
    And the notes say "127.0.0.1:1 does not answer"
    And the notes say "What this entry does is not known"

  Scenario: What answers otherwise is no entry
    Given the entry answers "GET /v1/status" with
      """
      "hello"
      """
    When the operator runs `status`
    Then the exit code is 12
    And the notes say "not as an operators' listener"

  Scenario Outline: A command that is not understood does nothing
    When the operator runs `<command>`
    Then the exit code is 64
    And "POST /v1/marks" was sent 0 times

    Examples:
      | command              |
      | vm leave a b         |
      | vm leave a --wait=3  |
      | vm leave 1_0         |
      | vm leave             |
      | vm drop a            |
      | config edit new.toml |

  Scenario: Without an entry the way to name one is told
    When the operator runs `status` without an entry
    Then the exit code is 64
    And the notes say "ALMONDSTAIR_ENTRY"

  Scenario Outline: Each command has help with an example
    When the operator runs `<command> --help`
    Then the exit code is 0
    And the notes say "almondstairctl <command>"

    Examples:
      | command         |
      | config show     |
      | config check    |
      | config diff     |
      | config edit     |
      | config history  |
      | profile list    |
      | profile set     |
      | profile assign  |
      | vm leave        |
      | vm return       |
      | edit status     |
      | settings check  |
      | status          |
