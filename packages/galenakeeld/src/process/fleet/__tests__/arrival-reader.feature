Feature: What has arrived at connections is read before it is relied on

  Background:
    Given a wait for what has arrived, which may be 240 ms old

  Scenario: The event loop reads between two phases of immediates
    When 1 phase of immediates has passed
    Then the wait goes on
    When 1 phase of immediates has passed
    Then the wait is over

  # Guards against TWICE: a process that stood still during the wait relied on what it had read before.
  Scenario: After a pause in between, the connections are read again
    When 1 phase of immediates has passed
    And the process stands still for 241 ms
    And 1 phase of immediates has passed
    Then the wait goes on
    When 2 phases of immediates have passed
    Then the wait is over

  Scenario: After a suspension of the machine, which the steady clock doesn't count, the connections are read again
    When 1 phase of immediates has passed
    And the machine is suspended for 2000 ms
    And 1 phase of immediates has passed
    Then the wait goes on
    When the process stands still for 1 ms
    And 4 phases of immediates have passed
    Then the wait is over

  Scenario: A short pause is allowed
    When 1 phase of immediates has passed
    And the process stands still for 240 ms
    And 1 phase of immediates has passed
    Then the wait is over
