Feature: A daemon that hears of a newer configuration obtains it in one of several ways

  Background:
    Given a daemon in "north" with version 7 that is to apply versions within 2000 ms, and the peers "n1" in "north" and "s1" in "south"

  Scenario: The watch of the store delivers the version first
    When "n1" tells the daemon of version 8
    And the daemon installs version 8 after 200 ms
    And 2000 ms pass for the daemon
    Then the store was read 0 times
    And no peer was asked

  Scenario: The store is read if the watch delivers nothing
    Given the store has version 8
    When "n1" tells the daemon of version 8
    And 300 ms pass for the daemon
    Then the store was read 1 times
    And the daemon has version 8
    And no peer was asked

  Scenario: A peer of the zone that has the version is asked if the store turns the daemon away
    Given the store turns the daemon away
    When "s1" has installed version 8
    And "n1" has installed version 8
    And 300 ms pass for the daemon
    Then "n1" was asked 1 times

  Scenario: A peer that only heard of the version is not asked
    Given the store turns the daemon away
    When "n1" tells the daemon of version 8
    And "s1" has installed version 8
    And 300 ms pass for the daemon
    Then "s1" was asked 1 times

  Scenario: Attempts become rarer while a version that peers tell of is nowhere to be had
    When "n1" tells the daemon of version 8
    And 30000 ms pass for the daemon
    Then the store was read 9 times
