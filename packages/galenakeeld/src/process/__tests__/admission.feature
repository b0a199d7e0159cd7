Feature: Admission by expected wait

  Background:
    Given 40 slots of speed 1, all busy

  Scenario Outline: A request is admitted only if it can be served in time
    Given <waiting> ms of work is queued, <own> ms of it by the same team, entitled to <share> of the slots
    When a request of <work> ms with a deadline of <deadline> ms arrives
    Then the decision is "<decision>"

    Examples:
      | waiting | own   | share | work | deadline | decision       |
      | 0       | 0     | 1     | 100  | 1000     | admitted       |
      | 36000   | 36000 | 1     | 100  | 5000     | admitted       |
      | 44000   | 44000 | 1     | 100  | 5000     | overloaded     |
      | 36000   | 36000 | 1     | 100  | 500      | overloaded     |
      | 0       | 0     | 1     | 2000 | 1000     | never-runnable |
      | 80000   | 0     | 0.1   | 100  | 1000     | admitted       |
      | 80000   | 80000 | 0.5   | 100  | 5000     | overloaded     |
      | 20000   | 8000  | 0.1   | 100  | 5000     | admitted       |

  Scenario: A standing queue is kept short
    Given 30000 ms of work is queued, 30000 ms of it by the same team, entitled to 1 of the slots
    And the queue is standing
    When a request of 100 ms with a deadline of 5000 ms arrives
    Then the decision is "overloaded"
    And the caller is told to retry after 750 ms
