Feature: Leases on slots

  Background:
    Given a lender with 8 slots and a borrower of an endpoint

  Scenario: Slots are lent from the surplus only
    Given the lender needs 5 slots itself
    When the borrower requests 6 slots at 0 ms
    Then the lender may use 5 slots and the borrower 3

  Scenario: A lease that is not renewed expires
    When the borrower requests 6 slots at 0 ms
    And 3000 ms have passed
    Then the lender may use 8 slots and the borrower 0

  Scenario: A renewal keeps slots in use and returns the rest
    When the borrower requests 6 slots at 0 ms
    And the borrower runs 2 tasks
    And the borrower renews its leases at 1800 ms
    Then the lender may use 6 slots and the borrower 2

  Scenario: A lender with a shortage reclaims slots that are not busy
    When the borrower requests 6 slots at 0 ms
    And the borrower runs 4 tasks
    And the borrower completes 3 tasks
    And the lender has a shortage
    And the borrower renews its leases at 1800 ms
    Then the lender may use 7 slots and the borrower 1

  Scenario: Idle slots are returned before their leases expire
    When the borrower requests 6 slots at 0 ms
    And the borrower runs 1 tasks
    And the borrower returns its idle slots
    Then the lender may use 7 slots and the borrower 1

  Scenario: A task does not start on a slot whose lease would expire first
    When the borrower requests 6 slots at 0 ms
    Then the borrower finds a slot for a task of 500 ms at 2400 ms
    But the borrower finds none for a task of 500 ms at 2600 ms

  Scenario: Slots needed only for teams over their quota are lent for teams within theirs
    Given the lender needs 5 slots for teams within their quota and the rest for others
    When the borrower requests 6 slots at 0 ms, 2 of them for teams within their quota
    Then the lender may use 6 slots and the borrower 2
