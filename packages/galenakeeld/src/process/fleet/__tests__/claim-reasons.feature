Feature: The log tells why a cell was claimed and what ran when it was released

  Background:
    Given a daemon "n1" of the zone "north" that owns nothing

  Scenario: No owner was known
    When the daemon reviews its claims
    Then the claim of "north" was logged with the cause "no-owner"

  Scenario: The owner was lost
    Given the peer "n2" of the zone "north" owns "north"
    And the peer "s1" of the zone "south" owns "south"
    When the daemon reviews its claims
    Then no claim was logged
    When "n2" is lost as "silent" after 720 ms
    And 40 ms pass until the next review
    Then the claim of "north" was logged with the cause "owner-lost"
    And it names "n2", lost as "silent" after 720 ms, 40 ms before

  Scenario: An owner of another zone is replaced
    Given the peer "s1" of the zone "south" owns "north"
    When the daemon reviews its claims
    Then the claim of "north" was logged with the cause "owner-replaced"
    And it names "s1", which is not lost

  Scenario: A token is raised for a job that an owner with a higher token may have started
    When the daemon reviews its claims
    And a job arrives in "north" with a token above that of the claim
    Then the claim of "north" was logged with the cause "submitted-token"

  Scenario: A token is raised since endpoints accept another one
    Given the peer "s1" of the zone "south" owns "south"
    When the daemon reviews its claims
    And endpoints of "north" accept another owner
    Then the claim of "north" was logged with the cause "fenced"

  Scenario: A cell is released
    When the daemon reviews its claims
    And an endpoint of "north" runs attempt 1001 of the task "0.3"
    And the peer "n2" of the zone "north" owns "north" with a higher token
    And the daemon reviews its claims
    Then the release of "north" was logged with attempt 1001 of the task "0.3"
