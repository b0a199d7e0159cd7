Feature: Tasks without capacity in their zone go to other zones with free capacity

  Scenario: Tasks go together to the cell with the most capacity
    Given the cell "east" has capacity for 1 tasks on endpoints of factor 1
    And the cell "south" has capacity for 4 tasks on endpoints of factor 1
    When 3 tasks of 100 ms wait, due in 300 ms
    Then they are shared as "south: 0, 1, 2"

  Scenario: A wide step is spread when no cell has capacity for all of it
    Given the cell "east" has capacity for 1 tasks on endpoints of factor 1
    And the cell "south" has capacity for 2 tasks on endpoints of factor 1
    When 5 tasks of 100 ms wait, due in 300 ms
    Then they are shared as "south: 0, 2; east: 1"

  Scenario: A task doesn't go to endpoints on which it would be late
    Given the cell "south" has capacity for 4 tasks on endpoints of factor 3
    When 2 tasks of 100 ms wait, due in 250 ms
    Then they are shared as ""

  Scenario: A task that is late anyway goes to any free capacity
    Given the cell "south" has capacity for 4 tasks on endpoints of factor 3
    When 2 late tasks of 100 ms wait, due in 250 ms
    Then they are shared as "south: 0, 1"

  Scenario: Capacity of another service is not used
    Given the cell "south" has capacity for 4 tasks of the service "quotes"
    When 2 tasks of 100 ms wait, due in 300 ms
    Then they are shared as ""

  Scenario: Capacity goes to the more urgent step first
    Given the cell "south" has capacity for 2 tasks on endpoints of factor 1
    When 2 tasks of 100 ms wait, due in 150 ms
    And 2 tasks of 100 ms wait, due in 900 ms
    Then they are shared as "south: 0, 1"

  Scenario: Capacity is never assigned twice
    Then over 300 random loads no cell is sent more than its free capacity
