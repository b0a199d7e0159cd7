Feature: An endpoint counts as silent when looks show it, and its leases end by its own clock

  Scenario: An endpoint that was not looked at is awaited
    Given an endpoint that was not looked at
    Then the contact is "awaited"

  Scenario: An endpoint that answers is reached
    Given an endpoint that was not looked at
    When a look is answered
    Then the contact is "reached"

  Scenario: One lost answer makes nobody silent
    Given an endpoint that was not looked at
    When a look is answered
    And 1 looks have no answer
    Then the contact is "reached, missed"

  Scenario: Two lost answers in a row make an endpoint silent, and the next look waits
    Given an endpoint that was not looked at
    When a look is answered
    And 2 looks have no answer
    Then the contact is "silent, missed, pausing"

  Scenario: An endpoint that turns a look away is silent at once
    Given an endpoint that was not looked at
    When a look is answered
    And a look is turned away
    Then the contact is "silent, missed"

  Scenario: An endpoint that has never answered is silent at once
    Given an endpoint that was not looked at
    When 1 looks have no answer
    Then the contact is "silent, missed"

  Scenario: An answer ends the silence
    Given an endpoint that was not looked at
    When 3 looks have no answer
    And a look is answered
    Then the contact is "reached"

  Scenario: No lease is sent to a clock that nobody has told
    Given leases of at most 1000 ms
    Then there is no next lease

  Scenario: A lease ends by the endpoint's clock
    Given leases of at most 1000 ms
    When the endpoint's clock is 5000 ms
    And 200 ms pass for the leases
    Then the next lease ends at 6200 ms

  Scenario: Leases have ended once the slowest clock has passed them
    Given leases of at most 1000 ms
    When the endpoint's clock is 5000 ms
    And 500 ms pass for the leases
    Then the next lease ends at 6500 ms
    When 1050 ms pass for the leases
    Then a lease may still last
    When 20 ms pass for the leases
    Then no lease lasts

  Scenario: An earlier owner may have sent a lease just before
    Given leases of at most 1000 ms
    Then a lease may still last
    When 1061 ms pass for the leases
    Then no lease lasts
