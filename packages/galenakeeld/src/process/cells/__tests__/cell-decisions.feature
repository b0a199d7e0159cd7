Feature: Job urgency, endpoint health and endpoint speed in a cell

  Scenario: Jobs that can meet their objective are placed before late ones, and started jobs first
    Then the order of these jobs is "started, waiting, started-late, late"
      | job          | due in | needs | started | priority |
      | late         | 50     | 100   | no      | 0        |
      | started-late | 50     | 100   | yes     | 0        |
      | waiting      | 200    | 100   | no      | 0        |
      | started      | 300    | 100   | yes     | 0        |

  Scenario: Jobs of an urgent queue are placed before others that are due slightly earlier, but not before those due much earlier
    Then the order of these jobs is "much-earlier, urgent, earlier"
      | job          | due in | needs | started | priority |
      | urgent       | 200    | 50    | no      | 0        |
      | earlier      | 170    | 50    | no      | 1        |
      | much-earlier | 130    | 50    | no      | 1        |

  Scenario: An endpoint cools down after two consecutive failures, is probed, and is healthy again after a success
    Given a healthy endpoint
    When a run fails at 0 ms
    Then it is "healthy"
    When a run fails at 10 ms
    Then it is "cooling-down"
    And at 2000 ms it is "probing"
    When a run succeeds at 2050 ms
    Then it is "healthy"

  Scenario: A failed probe makes the cooldown longer
    Given a healthy endpoint
    When a run fails at 0 ms
    And a run fails at 10 ms
    And a run fails at 2000 ms
    Then at 4000 ms it is "cooling-down"
    And at 6000 ms it is "probing"

  Scenario: One stalled run starts a cooldown
    Given a healthy endpoint
    When a run stalls at 0 ms
    Then it is "cooling-down"

  Scenario: The speed of an endpoint is learned from its runs, and that of a new one from its kind
    When 20 runs at an endpoint of kind "b" take 2.5 times their estimates
    Then that endpoint counts as 2.5 times its estimates, within 0.2
    And another endpoint of kind "b" counts as 2.5 times its estimates, within 0.6
    And another endpoint of kind "a" counts as 1 times its estimates, within 0.01

  Scenario: A new owner begins with what the earlier one learned of kinds
    When 20 runs at an endpoint of kind "b" take 2.5 times their estimates
    And another daemon takes over
    Then another endpoint of kind "b" counts as 2.5 times its estimates, within 0.6

  Scenario: The ends of waiting jobs are predicted in the order in which they get capacity
    Given simulated slots that are free in "0, 100" ms
    Then jobs of "1x50, 2x50" tasks are predicted to end in "50, 150" ms
