Feature: A daemon announces the version of its configuration to peers that are not known to have it

  Background:
    Given a daemon in "north" with version 7, and 5 peers of which "n1" is in "north" and "s1" in "south"

  Scenario: Peers that have the version are told nothing
    When announcements are due for 2000 ms
    Then the version was announced to ""

  Scenario: A daemon of the zone is told at once, and again while it stays behind
    Given "n1, s1" have version 6
    Then the version was announced to "n1"
    When announcements are due for 900 ms
    Then the version was announced to "n1"
    When announcements are due for 100 ms
    Then the version was announced to "n1, n1"
    Given "n1" have version 7
    When announcements are due for 2000 ms
    Then the version was announced to "n1, n1"

  Scenario: A newer version is announced at once
    Given "n1" have version 6
    When the daemon installs version 8
    Then the version was announced to "n1, n1, other-0, other-1, other-2"

  Scenario: A version is passed on before it is installed
    When "n1" tells of version 8
    Then the version was announced to "other-0, other-1, other-2"

  Scenario: An owner tells the owners of other zones too
    Given the daemon and "s1" own a cell each
    And "n1, s1" have version 6
    Then the version was announced to "n1, s1"

  Scenario: What a peer of an earlier build leaves out changes nothing
    Given a view of the peer "n1" with version 7
    When a keep-alive of "n1" without a version is read
    Then the view has version 7 of "n1"
    When "n1" tells the view of version 8, which it has not installed
    Then the view has version 7 of "n1", and 8 as the newest

  # Guards against changes that come into force late (CONFIG): the time to read a missed change grew with the fleet, up to 10 s.
  Scenario Outline: <daemons> daemons read the store as often together as ten do, since they announce newer versions
    Then one of <daemons> daemons waits <wait> ms for a change, and reads the configuration each <interval> ms

    Examples:
      | daemons | wait | interval |
      | 1       | 800  | 1600     |
      | 10      | 800  | 1600     |
      | 38      | 1800 | 6080     |
      | 97      | 1800 | 15520    |
      | 500     | 1800 | 80000    |
