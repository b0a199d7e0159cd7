Feature: A zone with many endpoints is divided into cells with owners of their own

  Background:
    Given daemons on the platform in the zones "north" and "south", 3 in each, with 46 endpoints in each

  Scenario: The cells of a zone belong to different daemons, and jobs run in all of them
    When 40 jobs of 2 tasks of 300 ms are submitted to daemon 1
    Then all answers are "complete"
    And every task ran once
    And the cells "north/0" and "north/1" belong to different daemons
    And tasks were started by the owners of "north/0" and of "north/1"

  Scenario: Jobs outlive the owner of one of the cells of their zone
    When 12 jobs of 2 tasks of 900 ms are submitted through a daemon that doesn't own "north/0"
    And the owner of "north/0" is killed after 300 ms
    Then all answers are "complete"
    And no task ran twice at the same time
