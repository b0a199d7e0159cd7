Feature: Owners announce loads to each other, more often to those that are short of capacity

  Background:
    Given an owner of "north" with an owner of "south" and a daemon without a cell as peers

  Scenario: An unchanged load is sent once
    When there is a backlog in "north"
    And 10 announcements are due
    Then "south" was sent 1 loads, and the daemon without a cell 0

  Scenario: An owner that is short of capacity is sent each change
    When there is a backlog in "south"
    And 10 announcements are due, with a change of load before each
    Then "south" was sent 10 loads, and the daemon without a cell 0

  Scenario: An owner with enough capacity is sent changes seldom
    When 101 announcements are due, with a change of load before each
    Then "south" was sent 3 loads, and the daemon without a cell 0

  Scenario: All owners are told at once of a cell that becomes short of capacity, and answer more often from then on
    When 10 announcements are due, with a change of load before each
    Then "south" was sent 1 loads, and the daemon without a cell 0
    When there is a backlog in "north"
    And 10 announcements are due, with a change of load before each
    Then "south" was sent 2 loads, and the daemon without a cell 0

  Scenario: With many owners, loads are announced less often
    Given 8 more owners
    When there is a backlog in "south"
    And 18 announcements are due, with a change of load before each
    Then "south" was sent 3 loads, and the daemon without a cell 0
