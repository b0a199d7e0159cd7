Feature: One instance under load

  Background:
    Given an instance with 5 endpoints of 8 slots and the runtime's clock paused

  Scenario: The crest of a swing
    When tasks of 100 to 300 ms arrive for 3000 ms at 0.5 times the capacity
    And tasks of 100 to 300 ms arrive for 10000 ms at 2.5 times the capacity
    And tasks of 100 to 300 ms arrive for 3000 ms at 0.5 times the capacity
    Then the goodput of phase 2 is at least 97% of the capacity
    And no refusal took longer than 50 ms
    And 1000 ms after the start of phase 3 no task waits longer than 20 ms
    And every task was answered once or refused

  Scenario Outline: A team that sends ten times its quota
    Given the seed <seed>
    When tasks of 100 to 300 ms arrive for 6000 ms at 0.3 times the capacity
    And tasks of 100 to 300 ms arrive for 6000 ms at 0.3 times the capacity while another team sends 10 times as many
    Then the 99th percentile of the first team's response in phase 2 is at most 1.1 times that in phase 1

    Examples:
      | seed |
      | 7    |
      | 11   |
      | 23   |
      | 99   |

  Scenario: A worker that fails all it starts
    When tasks of 100 to 300 ms arrive for 3000 ms at 0.5 times the capacity
    And endpoint 1 fails all that it starts
    And tasks of 100 to 300 ms arrive for 20000 ms at 0.5 times the capacity
    Then endpoint 1 got under 1% of the starts of phase 2

  Scenario: Short tasks beside long ones of a known kind
    When tasks of 100 to 300 ms arrive for 6000 ms at 0.7 times the capacity
    And tasks of 100 to 300 ms arrive for 20000 ms at 0.4 times the capacity beside tasks of 3000 ms at 0.3 times the capacity
    Then the 99th percentile of the first team's response in phase 2 is at most 1.2 times that in phase 1

  Scenario: An instance that has lent most of its slots before its callers came
    Given a peer has borrowed 38 slots
    When 20 requests arrive at once
    Then none is refused
