Feature: Claims of identifiers in the platform's table

  Scenario: A claim whose answer is lost is read back and runs once
    Given two incarnations that share a table
    When the answer of the next transaction is lost
    And incarnation 1 submits "sheet" with the body "a"
    And incarnation 1 submits "sheet" with the body "a"
    Then the outcomes are "complete, complete"
    And "sheet" ran 1 time

  Scenario: A repeat after the answer was dropped does not run, even when a claim failed in between
    Given two incarnations that share a table
    When incarnation 1 submits "sheet" with the body "a"
    And the answers are dropped
    And the table is unreachable
    And incarnation 1 submits "sheet" with the body "a"
    And the table is reachable again
    And incarnation 1 submits "sheet" with the body "a"
    Then the outcomes are "complete, outcome unknown, outcome unknown"
    And "sheet" ran 1 time

  Scenario: Stale reads end the claim after a limited number of attempts
    Given two incarnations that share a table
    When incarnation 1 submits "sheet" with the body "a"
    And reads are stale
    And incarnation 2 submits "sheet" with the body "a"
    Then the outcomes are "complete, outcome unknown"
    And at most 5 transactions were sent

  Scenario Outline: Another body under the same identifier never runs, at incarnation <incarnation>
    Given two incarnations that share a table
    When incarnation 1 submits "sheet" with the body "a"
    And incarnation <incarnation> submits "sheet" with the body "b"
    Then the outcomes are "complete, outcome unknown"
    And the last fault is "identifier-mismatch"
    And "sheet" ran 1 time

    Examples:
      | incarnation |
      | 1           |
      | 2           |

  Scenario: A refused submission may be submitted again, a cancelled one may not
    Given two incarnations that share a table
    When no task can run
    And incarnation 1 submits "sheet" with the body "a"
    And tasks can run
    And incarnation 1 submits "sheet" with the body "a"
    And incarnation 1 cancels "quote" while it waits
    And incarnation 1 submits "quote" with the body "b"
    Then the outcomes are "not run, complete, not run, not run"
    And "quote" ran 0 times

  Scenario: A submission whose claim is older than half of its retention does not run
    Given two incarnations that share a table
    When no task can run
    And incarnation 1 submits "sheet" with the body "a"
    And tasks can run
    And 5000000 ms pass
    And incarnation 1 submits "sheet" with the body "a"
    Then the outcomes are "not run, outcome unknown"
    And "sheet" ran 0 times

  Scenario: Expired claims are deleted page by page, others are kept
    Given two incarnations that share a table
    And a table of 250 expired and 3 fresh claims in one bucket
    When the sweep completes one round
    Then 3 rows remain
    And the sweep sent 3 transactions

  Scenario: A claim that ends at the caller's deadline names the deadline
    Given two incarnations that share a table
    When the table is unreachable
    And incarnation 1 submits "sheet" with a deadline of 20 ms
    Then the outcomes are "outcome unknown"
    And the last fault is "claim-unavailable"
    And the last detail names the deadline of 20 ms
