Feature: Owners announce loads to each other, more often while there is a backlog

  Background:
    Given an owner of "north" with an owner of "south" and a daemon without a cell as peers

  Scenario: An unchanged load is sent once
    When there is a backlog in "north"
    And 10 announcements are due
    Then "south" was sent 1 loads, and the daemon without a cell 0

  Scenario: During a backlog, each change is sent
    When there is a backlog in "north"
    And 10 announcements are due, with a change of load before each
    Then "south" was sent 10 loads, and the daemon without a cell 0

  Scenario: During a backlog in another cell, each change is sent
    When there is a backlog in "south"
    And 10 announcements are due, with a change of load before each
    Then "south" was sent 10 loads, and the daemon without a cell 0

  Scenario: With many owners, loads are announced less often
    Given 8 more owners
    When there is a backlog in "north"
    And 18 announcements are due, with a change of load before each
    Then "south" was sent 3 loads, and the daemon without a cell 0

  Scenario: Without a backlog, one announcement in five sends changes
    When 10 announcements are due, with a change of load before each
    Then "south" was sent 2 loads, and the daemon without a cell 0
