Feature: An endpoint counts as silent when it does not answer polls, and its leases expire by its own clock

  Scenario: The first answer of an endpoint that was not polled is awaited
    Given an endpoint that was not polled
    Then the endpoint is "awaited"

  Scenario: An endpoint that answers is reachable
    Given an endpoint that was not polled
    When a poll is answered
    Then the endpoint is "reachable"

  Scenario: One lost answer does not make an endpoint silent
    Given an endpoint that was not polled
    When a poll is answered
    And 1 polls have no answer
    Then the endpoint is "reachable, missed"

  Scenario: Two lost answers in a row make an endpoint silent, and the next poll is delayed
    Given an endpoint that was not polled
    When a poll is answered
    And 2 polls have no answer
    Then the endpoint is "silent, missed, backing off"

  Scenario: An endpoint that rejects a poll is silent at once
    Given an endpoint that was not polled
    When a poll is answered
    And a poll is rejected
    Then the endpoint is "silent, missed"

  Scenario: An endpoint that has never answered is silent at once
    Given an endpoint that was not polled
    When 1 polls have no answer
    Then the endpoint is "silent, missed"

  Scenario: An answer ends the silence
    Given an endpoint that was not polled
    When 3 polls have no answer
    And a poll is answered
    Then the endpoint is "reachable"

  Scenario: No lease is sent before the clock of the endpoint is known
    Given leases of at most 1000 ms
    Then there is no next lease

  Scenario: A lease expires by the endpoint's clock
    Given leases of at most 1000 ms
    When the endpoint's clock is 5000 ms
    And 200 ms pass for the leases
    Then the next lease ends at 6200 ms

  Scenario: Leases have expired once the slowest possible clock has passed them
    Given leases of at most 1000 ms
    When the endpoint's clock is 5000 ms
    And 500 ms pass for the leases
    Then the next lease ends at 6500 ms
    When 1050 ms pass for the leases
    Then a lease may still be in force
    When 20 ms pass for the leases
    Then no lease is in force

  Scenario: An earlier owner may have sent a lease just before
    Given leases of at most 1000 ms
    Then a lease may still be in force
    When 1061 ms pass for the leases
    Then no lease is in force
