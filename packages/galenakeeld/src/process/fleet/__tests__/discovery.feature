Feature: A daemon that may not have heard the owners yet claims nothing

  Background:
    Given a discovery that awaits "n1, n2"

  Scenario: A daemon that starts slowly waits for the heartbeat of the owner
    When 200 ms pass and "n1" is heard
    And 400 ms go by
    Then the discovery is not over
    When "n2" is heard
    Then the discovery is over

  Scenario: Nothing is concluded at once
    When 10 ms pass and "n1, n2" are heard
    Then the discovery is not over
    When 300 ms go by
    Then the discovery is over

  Scenario: A daemon where nothing listens is not awaited
    When 10 ms pass and "n1" is heard
    And "n2" refuses connections
    And 350 ms go by
    Then the discovery is over

  Scenario: A daemon that doesn't answer is awaited for a second
    When 10 ms pass and "n1" is heard
    And 900 ms go by
    Then the discovery is not over
    When 100 ms go by
    Then the discovery is over

  Scenario: Without peers the wait is longer
    When 2900 ms go by
    Then the discovery is not over
    When 200 ms go by
    Then the discovery is over

  Scenario: A daemon that was paused hears its peers again before it takes a cell back
    When 10 ms pass and "n1, n2" are heard
    And 400 ms go by
    Then the discovery is over
    When the daemon was paused
    And 400 ms go by
    And "n1" is heard
    Then the discovery is not over
    When "n2" is heard
    Then the discovery is over

  Scenario: A daemon that is cut off or fenced and may not claim releases its cell but takes none
    Given a daemon of "north" that may not claim
    When its claims are reviewed
    Then it claims ""
    When it may claim
    And its claims are reviewed
    Then it claims "north"
    When it may not claim
    And a peer claims "north" with a higher token
    And its claims are reviewed
    Then it claims ""
