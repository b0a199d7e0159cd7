Feature: One instance under load

  Background:
    Given an instance with 5 endpoints of 8 slots and a simulated clock

  Scenario: A load peak above the capacity
    When tasks of 100 to 300 ms arrive for 3000 ms at 0.5 times the capacity
    And tasks of 100 to 300 ms arrive for 10000 ms at 2.5 times the capacity
    And tasks of 100 to 300 ms arrive for 3000 ms at 0.5 times the capacity
    Then the goodput of phase 2 is at least 97% of the capacity
    And no refusal took longer than 50 ms
    And 1000 ms after the start of phase 3 no task waits longer than 20 ms
    And every task was answered once or refused

  Scenario Outline: A team far over its quota barely delays another
    Given the seed <seed>
    When tasks of 100 to 300 ms arrive for 6000 ms at 0.3 times the capacity
    And tasks of 100 to 300 ms arrive for 6000 ms at 0.3 times the capacity while another team sends 10 times as many
    Then the 99th percentile of the first team's response time in phase 2 is at most 1.1 times that in phase 1

    Examples:
      | seed |
      | 7    |
      | 11   |
      | 23   |
      | 99   |

  Scenario: An endpoint that fails every task gets almost no tasks
    When tasks of 100 to 300 ms arrive for 3000 ms at 0.5 times the capacity
    And endpoint 1 fails every task
    And tasks of 100 to 300 ms arrive for 20000 ms at 0.5 times the capacity
    Then endpoint 1 received less than 1% of the tasks started in phase 2

  Scenario: Long tasks of a known kind barely delay short ones
    When tasks of 100 to 300 ms arrive for 6000 ms at 0.7 times the capacity
    And tasks of 100 to 300 ms arrive for 20000 ms at 0.4 times the capacity together with tasks of 3000 ms at 0.3 times the capacity
    Then the 99th percentile of the first team's response time in phase 2 is at most 1.2 times that in phase 1

  Scenario: An instance that has lent most of its slots refuses no requests
    Given a peer has borrowed 38 slots
    When 20 requests arrive at once
    Then none is refused
