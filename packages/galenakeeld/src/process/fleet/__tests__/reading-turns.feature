Feature: What has arrived at connections is read before it is relied on

  Background:
    Given a wait for what has arrived

  Scenario: The event loop reads between two phases of immediates
    When 1 phase of immediates has passed
    Then the wait goes on
    When 1 phase of immediates has passed
    Then the wait is over

  # Guards against callers without an answer: a daemon whose turns were all long waited for a short one.
  Scenario: A wait lasts for one whole turn, however long that is
    When 1 phase of immediates has passed
    And the turn takes 700 ms
    And 1 phase of immediates has passed
    Then the wait is over

  # Guards against TWICE: what arrived while a process stood still in a turn was taken for read.
  Scenario: What arrives during a turn is unread until the next one has ended
    When a turn begins at 0 ms
    And the turn takes 700 ms
    And 1 phase of immediates has passed
    Then what arrived up to 0 ms is read
    When a turn begins at 700 ms
    And 1 phase of immediates has passed
    Then what arrived up to 700 ms is read
    And the longest turn took 700 ms
