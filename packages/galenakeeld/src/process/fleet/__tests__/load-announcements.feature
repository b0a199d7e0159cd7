Feature: Owners tell each other their loads, often while work waits

  Background:
    Given an owner of "north" that sees an owner of "south" and a daemon without a cell

  Scenario: A load that has not changed is told once
    When work waits in "north"
    And 10 announcements are due
    Then "south" was told 1 loads, and the daemon without a cell 0

  Scenario: While work waits, each change is told
    When work waits in "north"
    And 10 announcements are due, with a change of load before each
    Then "south" was told 10 loads, and the daemon without a cell 0

  Scenario: While work waits in another cell, each change is told
    When work waits in "south"
    And 10 announcements are due, with a change of load before each
    Then "south" was told 10 loads, and the daemon without a cell 0

  Scenario: In a calm, one announcement of five tells changes
    When 10 announcements are due, with a change of load before each
    Then "south" was told 2 loads, and the daemon without a cell 0
