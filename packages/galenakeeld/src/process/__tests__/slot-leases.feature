Feature: Leases on slots

  Background:
    Given a lender with 8 slots and a borrower of an endpoint

  Scenario: Slots are lent from the surplus only
    Given the lender needs 5 slots itself
    When the borrower asks for 6 slots at 0 ms
    Then the lender may use 5 slots and the borrower 3

  Scenario: A lease that is not renewed ends
    When the borrower asks for 6 slots at 0 ms
    And 3000 ms have passed
    Then the lender may use 8 slots and the borrower 0

  Scenario: A renewal keeps what is in use and gives back the rest
    When the borrower asks for 6 slots at 0 ms
    And the borrower runs 2 tasks
    And the borrower renews at 1800 ms
    Then the lender may use 6 slots and the borrower 2

  Scenario: A lender that is short takes back what is not busy
    When the borrower asks for 6 slots at 0 ms
    And the borrower runs 4 tasks
    And the borrower ends 3 tasks
    And the lender is short
    And the borrower renews at 1800 ms
    Then the lender may use 7 slots and the borrower 1

  Scenario: Idle slots are given back early
    When the borrower asks for 6 slots at 0 ms
    And the borrower runs 1 tasks
    And the borrower gives back what is idle
    Then the lender may use 7 slots and the borrower 1

  Scenario: A task does not start where the lease would not cover it
    When the borrower asks for 6 slots at 0 ms
    Then the borrower finds a slot for a task of 500 ms at 2400 ms
    But the borrower finds none for a task of 500 ms at 2600 ms

  Scenario: Slots that teams over their quota would use are lent for teams within theirs
    Given the lender needs 5 slots for teams within their quota and the rest for others
    When the borrower asks for 6 slots at 0 ms, 2 of them for teams within their quota
    Then the lender may use 6 slots and the borrower 2
