Feature: A daemon sends its configuration only to peers that have had an older one for a while

  Background:
    Given a daemon in "north" with version 7, and 5 peers of which "n1" is in "north" and "s1" in "south"

  Scenario: A peer that reads the version by itself is sent nothing
    Given "n1, s1" have version 6
    When announcements are due for 100 ms
    Given "n1, s1" have version 7
    When announcements are due for 2000 ms
    Then the configuration was sent to ""

  Scenario: A peer that stays behind is sent the configuration, one of the zone first
    Given "n1, s1" have version 6
    When announcements are due for 150 ms
    Then the configuration was sent to ""
    When announcements are due for 100 ms
    Then the configuration was sent to "n1"
    When announcements are due for 500 ms
    Then the configuration was sent to "n1, s1"

  Scenario: The configuration is sent again when it was lost
    Given "n1" have version 6
    When announcements are due for 3000 ms
    Then the configuration was sent to "n1, n1"

  Scenario Outline: One of <daemons> daemons reads the store less often, since they pass on newer versions
    Then one of <daemons> daemons waits <wait> ms for a change, and reads the configuration each <interval> ms

    Examples:
      | daemons | wait | interval |
      | 1       | 800  | 1200     |
      | 19      | 800  | 1200     |
      | 38      | 1800 | 3600     |
      | 97      | 1800 | 10000    |
