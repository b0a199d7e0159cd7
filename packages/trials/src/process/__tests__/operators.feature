Feature: The operators' command line

  Background:
    Given a fleet of 2 zones with 1 daemon and 1 endpoint each
    And an accepted document for "paysheet"

  Scenario: A document is changed and is in force on every instance
    When an operator types "document edit paysheet --file change.jsonc"
    And the operator replaces '"team": "owners"' by '"team": "milk"' in "change.jsonc"
    And an operator types "document diff change.jsonc"
    Then the command ends with code 0 and says '+	"team": "milk"'
    When an operator types "document accept change.jsonc --wait"
    Then the command ends with code 0 and says "in force on every live instance"
    When an operator types "document list --json"
    Then the command ends with code 0 and says '"team": "milk"'
    When an operator types "document history paysheet"
    Then the command ends with code 0 and says "VERSION"

  Scenario: The operator who is second sees the other's change and what to type next
    Given an operator types "document edit paysheet --file change.jsonc"
    And the operator replaces '"team": "owners"' by '"team": "milk"' in "change.jsonc"
    When another operator accepts a document for "paysheet" with the team "sheets"
    And an operator types "document accept change.jsonc"
    Then the command ends with code 5 and says '+	"team": "sheets"'
    And the command ends with code 5 and says "galenakeel document edit paysheet --file paysheet.version-2.jsonc"
    When an operator types "document show paysheet"
    Then the command ends with code 0 and says '"team": "sheets"'

  Scenario: Accepting the same text again changes nothing
    Given an operator types "document edit paysheet --file change.jsonc"
    And the operator replaces '"team": "owners"' by '"team": "milk"' in "change.jsonc"
    And an operator types "document accept change.jsonc"
    When an operator types "document accept change.jsonc"
    Then the command ends with code 0 and says "accepted version 2"

  Scenario: An operator goes back to an earlier version
    Given another operator accepts a document for "paysheet" with the team "sheets"
    When an operator types "document show paysheet --version 1"
    And the operator keeps what was printed in "old.jsonc"
    And an operator types "document accept old.jsonc --from-version 2 --wait"
    Then the command ends with code 0 and says "accepted version 3"
    When an operator types "document show paysheet"
    Then the command ends with code 0 and says '"team": "owners"'

  Scenario: A file that does not say what it was made from is not accepted over another
    Given an operator types "document edit paysheet --file change.jsonc"
    And the operator replaces "// galenakeel: from version 1" by "// my change" in "change.jsonc"
    When an operator types "document accept change.jsonc"
    Then the command ends with code 6 and says 'begin with "galenakeel document edit paysheet"'

  Scenario: A second service that names an endpoint of the first is warned of
    Given an operator types "document edit paysheet --file rerate.jsonc"
    And the operator replaces '"paysheet"' by '"rerate"' in "rerate.jsonc"
    When an operator types "document accept rerate.jsonc --from-version 0"
    Then the command ends with code 0 and says 'of "paysheet"; an endpoint belongs to one service'

  Scenario: A job is submitted, shown and explained
    Given a file "job.json" with a job of 6 tasks of 900 ms for "paysheet"
    When an operator types "job submit job.json --id sheets-9"
    Then the command ends with code 0 and says "sheets-9: complete: 6 of 6 tasks have an answer"
    And the command ends with code 0 and says "of 6 tasks started"
    When an operator types "job show sheets-9 --json"
    Then the command ends with code 0 and says '"outcome": "complete"'
    When an operator types "job show nowhere-1"
    Then the command ends with code 10 and says "no instance holds"
    When an operator types "explain sheets-9"
    Then the command ends with code 0 and says "sheets-9 for paysheet on entry-1"
    And the command ends with code 0 and says "answered"
    When an operator types "explain nowhere-1"
    Then the command ends with code 4 and says 'no instance remembers "nowhere-1"'

  Scenario: A refused job says why, and that nothing ran
    Given a file "job.json" with a job of 1 tasks of 900 ms for "unknown-service"
    When an operator types "job submit job.json"
    Then the command ends with code 9 and says 'not run'
    And the command ends with code 9 and says 'no document in force names the service "unknown-service"'

  Scenario: The state of the fleet is a table for people and JSON for programs
    When an operator types "status"
    Then the command ends with code 0 and says "INSTANCE"
    And the command ends with code 0 and says "TAKES TASKS FROM"
    When an operator types "status --json"
    Then the command ends with code 0 and says '"instance": "entry-2"'

  Scenario: The guard of an endpoint that fails every task is shown
    When an operator types "status"
    Then the command ends with code 0 and says "closed"
    When endpoint 1 fails all of 8 requests for "paysheet" through daemon 1
    And an operator types "status"
    Then the command ends with code 0 and says "open (server-errors) on 1"
    When an operator types "status --json"
    Then the command ends with code 0 and says '"reason": "server-errors"'

  Scenario: The doctor finds a daemon that died and a faulty settings file
    When an operator types "doctor"
    Then the command ends with code 0 and says "catalogue version 1 is in force"
    When daemon 2 is killed and stays on the platform's list
    And an operator types "doctor --daemon-settings job-that-is-not-there.jsonc"
    Then the command ends with code 11 and says "entry-2: the instance at"
    And the command ends with code 11 and says "job-that-is-not-there.jsonc can't be read"

  Scenario: A platform out of reach is said in one line
    When the platform goes down
    And an operator types "document list"
    Then the command ends with code 7 and says "galenakeel: platform-unavailable: the platform at"
    And the command prints no stack trace
    When an operator types "document list --platform platform.example:7000"
    Then the command ends with code 6 and says 'the address "platform.example:7000" must be an IP number and a port'
    When an operator asks daemon 1 for its status
    Then the command ends with code 0 and says "entry-1"

  Scenario: A settings file takes the place of flags, and its faults have places
    Given a file "settings.jsonc" with '{"platfrom": {}}'
    When an operator types "status --settings settings.jsonc"
    Then the command ends with code 6 and says 'line 1, column 2: platfrom: is not known here; did you mean "platform"?'
