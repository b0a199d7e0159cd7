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

  # Guards against TWICE: requests of connections that had waited for many turns were taken for fresh ones.
  Scenario: What is read at a new connection may be as old as the last turn without one
    When a turn begins at 0 ms
    And 1 phase of immediates has passed
    And the turn takes 700 ms
    And a turn begins at 700 ms
    And a connection is accepted
    And 1 phase of immediates has passed
    Then what is read there was sent after 0 ms
    When the turn takes 500 ms
    And a turn begins at 1200 ms
    And a connection is accepted
    And 1 phase of immediates has passed
    Then what is read there was sent after 0 ms
    When the turn takes 500 ms
    And a turn begins at 1700 ms
    And 1 phase of immediates has passed
    Then what is read there was sent after 1700 ms
    When the turn takes 100 ms
    And a connection is accepted
    Then what is read there was sent after 1700 ms

  # Guards against 504 for callers that still wait: with a new connection in each turn, all requests counted as being as old as the first of these turns.
  Scenario: A daemon whose turns each accept the connection that was opened in the one before takes none for much older
    When 50 turns of 100 ms each accept the connection that was opened in the one before
    Then what is read there was sent at most 1240 ms ago

  Scenario: The event loop accepts one connection in each turn
    When 5 connections have been opened at a server that stood still
    Then they are accepted in 5 turns
