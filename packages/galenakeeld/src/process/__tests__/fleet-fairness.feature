Feature: Fairness over the fleet

  Background:
    Given 6 instances that lend each other the slots of 12 endpoints, and a fake clock
    When 4 of 5 teams offer 0.6 times the capacity for 6000 ms
    And the fifth team additionally offers 10 times its quota for 6000 ms

  Scenario: Teams within their quota are served while another sends ten times its own
    Then no task of the 4 teams is refused
    And fewer than 0.05 calls to peers were made per task

  Scenario: Teams within their quota wait no longer while another sends ten times its own
    Then the 99th percentile of their slowdown in phase 2 is at most 1.1 times that in phase 1
